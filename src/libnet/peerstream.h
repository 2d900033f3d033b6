#pragma once

#include "libapricot/clock.h"
#include "libapricot/endpoint.h"
#include "libnet/messages.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

// Address on which a process of the system listens for its peers.
// Store it in a variable before passing it in a co_await expression: g++ 12 destroys a braced
// temporary there twice.
using PeerEndpoint = Endpoint;

// Bidirectional stream of messages between two processes, on an HTTP/2 stream.
class PeerStream {
public:
    virtual ~PeerStream() = default;

    // Returns the next message, or nothing once the peer has finished. Throws std::runtime_error if
    // the stream or its connection breaks first.
    virtual boost::asio::awaitable<std::optional<Message>> read() = 0;
    // Queues a message, waiting while the queue is over its size limit. Throws std::runtime_error if
    // the stream is broken.
    virtual boost::asio::awaitable<void> write(Message message) = 0;
    // Ends this side of the stream: no more messages follow.
    virtual void finish() = 0;
    // Cancels the stream at once; the peer's read() throws.
    virtual void cancel() = 0;
};

// Handles one stream that a peer has opened. The stream ends when the handler returns.
using PeerHandler = std::function<boost::asio::awaitable<void>(std::shared_ptr<PeerStream>)>;

struct PeerServerOptions {
    std::string address = "127.0.0.1";
    // Zero lets the kernel choose.
    std::uint16_t port = 0;
};

// Accepts streams from peers. Must outlive the io_context's run().
class PeerServer {
public:
    PeerServer(boost::asio::io_context& context, PeerServerOptions options, PeerHandler handler);
    ~PeerServer();

    PeerServer(const PeerServer&) = delete;
    PeerServer& operator=(const PeerServer&) = delete;

    std::uint16_t port() const;
    std::size_t streamsInFlight() const;
    void stopAccepting();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

// Why a connection to a peer failed, as far as it shows whether the peer's process is alive.
enum class PeerFailure {
    // The peer's host refused the connection because no process listens: the peer's process is gone.
    Refused,
    // No response: the peer may be frozen, disconnected from the network or gone.
    Unreachable,
};

// Thrown when a peer can't be reached.
class PeerError : public std::runtime_error {
public:
    PeerError(PeerFailure failure, const std::string& what)
        : std::runtime_error(what)
        , m_failure(failure)
    {
    }

    PeerFailure failure() const { return m_failure; }

private:
    PeerFailure m_failure;
};

// Opens streams to peers, over one persistent connection for each endpoint.
class PeerClient {
public:
    explicit PeerClient(boost::asio::io_context& context);
    ~PeerClient();

    PeerClient(const PeerClient&) = delete;
    PeerClient& operator=(const PeerClient&) = delete;

    // Opens a stream and sends its first message.
    boost::asio::awaitable<std::shared_ptr<PeerStream>> open(
        PeerEndpoint endpoint, Message first, Milliseconds timeout);
    // Opens a stream, sends a request and reads one response.
    boost::asio::awaitable<Message> call(
        PeerEndpoint endpoint, Message request, Milliseconds timeout);

    // Opens a stream, sends a message that has no response, and waits until the peer has handled it.
    boost::asio::awaitable<void> notify(PeerEndpoint endpoint, Message message, Milliseconds timeout);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
