#pragma once

#include "libapricot/clock.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <list>

namespace Apricot {

// What a connection of a server does.
enum class ConnectionState : std::uint8_t {
    // Waits for its first request.
    New,
    // Waits for another request.
    Idle,
    // Sends a request.
    Reading,
    // Its request is handled.
    Serving,
    // Part of its response waits for the client to read.
    Writing,
};

// The connections of a server, so that others can be closed for a new one.
class ConnectionTable {
public:
    // A connection as long as it exists.
    class Entry {
    public:
        Entry(ConnectionTable& table, boost::asio::ip::tcp::socket& socket);
        ~Entry();

        Entry(const Entry&) = delete;
        Entry& operator=(const Entry&) = delete;

        void setState(ConnectionState state);
        boost::asio::ip::tcp::socket& socket() { return m_socket; }

    private:
        friend class ConnectionTable;

        ConnectionTable& m_table;
        boost::asio::ip::tcp::socket& m_socket;
        ConnectionState m_state = ConnectionState::New;
        TimePoint m_since;
        std::list<Entry*>::iterator m_position;
    };

    std::size_t size() const { return m_entries.size(); }
    // Closes the connections that wait for a request, and for which the predicate holds.
    void closeWaiting(const std::function<bool(boost::asio::ip::tcp::socket&, bool isNew)>& predicate);
    // Closes a connection for a new one: the one that has been idle longest, or else the one that takes longest to send
    // its request, or to read part of its response. Returns its state, or Serving if there is none.
    ConnectionState closeOne();

private:
    std::list<Entry*> m_entries;
};

}
