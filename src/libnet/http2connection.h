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
    // The peer has sent its last message.
    bool remoteFinished = false;
    // This side will send no more.
    bool localFinished = false;
    bool broken = false;
    bool closed = false;
    // Whether sending waits for more data.
    bool sendDeferred = false;
};

// One HTTP/2 connection between two processes, on an nghttp2 session driven from asio. All calls are
// made on the thread of its socket.
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
    // Opens a stream to the peer and returns it. Throws PeerError on a connection that has ended.
    std::shared_ptr<PeerStream> openStream();
    // Asks the peer to open no more streams here.
    void announceShutdown();
    // Ends the connection; every open stream breaks.
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
    // Ends a client's connection with open streams when the peer's process has not answered a ping,
    // which tells a frozen or unreachable peer from one that is busy with a long stage.
    boost::asio::awaitable<void> watchLiveness();
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
    bool m_open = true;
};

}
