#pragma once

#include "libnet/asyncevent.h"
#include "libnet/peerstream.h"

#include <boost/asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

#include <deque>
#include <map>
#include <set>

namespace Apricot {

class Http2Connection;

// State of one HTTP/2 stream inside its connection.
class Http2Stream {
public:
    template <typename Executor>
    explicit Http2Stream(const Executor& executor)
        : stateChanged(executor)
    {
    }

    std::string receiveBuffer;
    std::deque<Message> receivedMessages;
    std::string sendBuffer;
    AsyncEvent stateChanged;
    // The peer has ended its side of the stream.
    bool remoteFinished = false;
    // This side queues no more messages; queued ones are still sent.
    bool localFinished = false;
    bool broken = false;
    bool closed = false;
    // nghttp2 has deferred sending until there is more data.
    bool sendDeferred = false;
};

// HTTP/2 connection between two processes: an nghttp2 session driven by Asio. All calls must be made
// on the thread of its socket.
class Http2Connection : public std::enable_shared_from_this<Http2Connection> {
public:
    enum class Role {
        Client,
        Server,
    };

    Http2Connection(boost::asio::ip::tcp::socket socket, Role role, PeerHandler handler = {});
    ~Http2Connection();

    Http2Connection(const Http2Connection&) = delete;
    Http2Connection& operator=(const Http2Connection&) = delete;

    // Starts reading and writing. Call once, after construction in a shared_ptr.
    void start();
    // Opens a stream to the peer. Throws PeerError if the connection is closed.
    std::shared_ptr<PeerStream> openStream();
    // Sends GOAWAY, so that the peer opens no more streams on this connection.
    void announceShutdown();
    // Closes the connection and marks every open stream as broken.
    void close();
    bool isOpen() const { return m_open; }
    Role role() const { return m_role; }
    std::size_t streamCount() const { return m_streams.size(); }

    void sendMessage(std::int32_t id, Http2Stream& stream, const Message& message);
    void finishStream(std::int32_t id, Http2Stream& stream);
    void cancelStream(std::int32_t id, Http2Stream& stream);

private:
    struct Callbacks;

    boost::asio::awaitable<void> readLoop();
    boost::asio::awaitable<void> writeLoop();
    // Closes a client's connection with open streams if the peer's process does not respond to pings.
    // This distinguishes a frozen or unreachable peer from one that is busy with a long stage. Sleeps while
    // no stream is open, because a host has connections to many peers.
    boost::asio::awaitable<void> watchLiveness();
    // Starts the liveness check of a connection that had no stream.
    void wakeLivenessWatch();
    boost::asio::awaitable<void> runHandler(std::int32_t id, std::shared_ptr<Http2Stream> stream);
    void acceptStream(std::int32_t id);
    void receiveData(Http2Stream& stream, std::string_view data);
    void closeStream(std::int32_t id, bool broken);
    void resumeSending(std::int32_t id, Http2Stream& stream);
    Http2Stream* findStream(std::int32_t id);

    boost::asio::ip::tcp::socket m_socket;
    Role m_role;
    PeerHandler m_handler;
    nghttp2_session* m_session = nullptr;
    std::map<std::int32_t, std::shared_ptr<Http2Stream>> m_streams;
    AsyncEvent m_writable;
    RuntimeTimer m_livenessTimer;
    TimePoint m_lastReceived {};
    bool m_isLivenessWatchAsleep = false;
    bool m_open = true;
};

}
