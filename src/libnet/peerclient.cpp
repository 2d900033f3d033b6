#include "libnet/http2connection.h"
#include "libnet/watchdog.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Apricot {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

    // The connection ends if the peer's host does not acknowledge sent data within this time.
    constexpr int unacknowledgedTimeoutMs = 5000;

}

class PeerClient::Impl : public std::enable_shared_from_this<PeerClient::Impl> {
public:
    explicit Impl(Asio::io_context& context)
        : m_context(context)
    {
    }

    ~Impl()
    {
        for (const auto& [endpoint, connection] : m_connections)
            connection->close();
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    Asio::io_context& context() { return m_context; }

    Asio::awaitable<std::shared_ptr<Http2Connection>> connect(
        PeerEndpoint endpoint, Milliseconds timeout)
    {
        if (auto connection = findOpen(endpoint))
            co_return connection;
        auto socket = std::make_shared<Tcp::socket>(m_context);
        const Watchdog watchdog(m_context, timeout, [socket] { socket->close(); });
        boost::system::error_code error;
        const Tcp::endpoint target(Asio::ip::make_address(endpoint.address), endpoint.port);
        co_await socket->async_connect(target,
            Asio::redirect_error(Asio::use_awaitable, error));
        if (error == Asio::error::connection_refused)
            throw PeerError(PeerFailure::Refused, "peer refused the connection");
        if (error || watchdog.hasExpired())
            throw PeerError(PeerFailure::Unreachable, "connection to the peer failed or timed out");
        // Another coroutine may have connected meanwhile.
        if (auto connection = findOpen(endpoint))
            co_return connection;
        co_return addConnection(endpoint, std::move(*socket));
    }

private:
    std::shared_ptr<Http2Connection> findOpen(const PeerEndpoint& endpoint)
    {
        const auto found = m_connections.find(endpoint);
        if (found == m_connections.end())
            return nullptr;
        if (found->second->isOpen())
            return found->second;
        m_connections.erase(found);
        return nullptr;
    }

    std::shared_ptr<Http2Connection> addConnection(const PeerEndpoint& endpoint, Tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored); // NOLINT(bugprone-unused-return-value)
        socket.set_option( // NOLINT(bugprone-unused-return-value)
            Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                unacknowledgedTimeoutMs),
            ignored);
        auto connection = std::make_shared<Http2Connection>(
            std::move(socket), Http2Connection::Role::Client);
        m_connections[endpoint] = connection;
        connection->start();
        return connection;
    }

    Asio::io_context& m_context;
    std::map<PeerEndpoint, std::shared_ptr<Http2Connection>> m_connections;
};

PeerClient::PeerClient(Asio::io_context& context)
    : m_impl(std::make_shared<Impl>(context))
{
}

PeerClient::~PeerClient() = default;

Asio::awaitable<std::shared_ptr<PeerStream>> PeerClient::open(
    PeerEndpoint endpoint, Message first, Milliseconds timeout)
{
    const std::shared_ptr<Impl> impl = m_impl;
    const auto connection = co_await impl->connect(std::move(endpoint), timeout);
    std::shared_ptr<PeerStream> stream = connection->openStream();
    co_await stream->write(std::move(first));
    co_return stream;
}

Asio::awaitable<Message> PeerClient::call(
    PeerEndpoint endpoint, Message request, Milliseconds timeout)
{
    const std::shared_ptr<Impl> impl = m_impl;
    const std::shared_ptr<PeerStream> stream
        = co_await open(std::move(endpoint), std::move(request), timeout);
    const Watchdog watchdog(impl->context(), timeout, [stream] { stream->cancel(); });
    std::optional<Message> response = co_await stream->read();
    if (!response)
        throw PeerError(
            PeerFailure::Unreachable, "peer finished the stream without sending a response");
    co_return std::move(*response);
}

Asio::awaitable<void> PeerClient::notify(PeerEndpoint endpoint, Message message, Milliseconds timeout)
{
    const std::shared_ptr<Impl> impl = m_impl;
    const std::shared_ptr<PeerStream> stream
        = co_await open(std::move(endpoint), std::move(message), timeout);
    const Watchdog watchdog(impl->context(), timeout, [stream] { stream->cancel(); });
    stream->finish();
    co_await stream->read();
}

}
