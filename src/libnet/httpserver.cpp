#include "libnet/httpserver.h"

#include "libnet/asyncevent.h"
#include "libnet/connectiontable.h"
#include "libnet/httpexchangeimpl.h"
#include "libnet/readrejection.h"
#include "libnet/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <utility>

namespace Apricot {

namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::size_t readBufferBytes = 4096;
    // A larger buffer is freed while its request is handled and its connection idle.
    constexpr std::size_t maxIdleBufferBytes = 8192;
    // How long a new connection may take to send its first request once the server stops.
    constexpr Milliseconds firstRequestTimeout { 300 };
    // How long the unread data of a rejected request is read and discarded.
    constexpr Milliseconds lingerTimeout { 500 };
    // Time after which connections are accepted again when the process has no descriptor for them.
    constexpr Milliseconds acceptPause { 100 };
    // Time in which a peer accepts some bytes of a response, where the configuration sets no timeout.
    constexpr Milliseconds defaultWriteTimeout { 30'000 };
    // Connections close for new ones only where there are many, so few clients cannot displace each other.
    constexpr std::size_t minMaxConnections = 16;

}

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(Asio::io_context& context, HttpServerOptions options, HttpHandler handler)
        : m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_acceptor(
              context, Tcp::endpoint(Asio::ip::make_address(m_options.address), m_options.port))
    {
    }

    void start()
    {
        Asio::co_spawn(
            m_acceptor.get_executor(),
            [self = shared_from_this()] { return self->acceptConnections(); }, Asio::detached);
    }

    std::uint16_t port() const { return m_port; }
    std::size_t exchangesInFlight() const { return m_isStopping ? m_connections : m_exchangesInFlight; }

    void stopAccepting()
    {
        m_acceptingStopped = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored); // NOLINT(bugprone-unused-return-value)
        m_table.closeWaiting([](Tcp::socket&, bool) { return true; });
    }

    void stopAfterPendingRequests()
    {
        m_isStopping = true;
        boost::system::error_code error;
        m_acceptor.non_blocking(true, error); // NOLINT(bugprone-unused-return-value)
        while (!error || error == Asio::error::connection_aborted) {
            Tcp::socket socket = m_acceptor.accept(error);
            if (!error)
                serve(std::move(socket));
        }
        m_acceptor.close(error); // NOLINT(bugprone-unused-return-value)
        closeIdleSockets(false);
        Asio::co_spawn(
            m_acceptor.get_executor(),
            [self = shared_from_this()]() -> Asio::awaitable<void> {
                co_await sleepFor(self->m_acceptor.get_executor(), firstRequestTimeout);
                self->closeIdleSockets(true);
            },
            Asio::detached);
    }

    void closeAfterResponses() { m_closingAfterResponses = true; }
    void setMaxConnections(std::size_t connections) { m_options.maxConnections = connections; }
    HttpServerCounts counts() const
    {
        HttpServerCounts counts = m_counts;
        counts.connections = m_table.size();
        return counts;
    }
    void storePort() { m_port = m_acceptor.local_endpoint().port(); }

private:
    Asio::awaitable<void> acceptConnections()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await m_acceptor.async_accept(
                Asio::redirect_error(Asio::use_awaitable, error));
            if (error) {
                // Without a free descriptor, accepting again at once would fail again and again.
                if (m_acceptor.is_open() && error != Asio::error::connection_aborted)
                    co_await sleepFor(m_acceptor.get_executor(), acceptPause);
                continue;
            }
            if (makeRoom())
                serve(std::move(socket));
            else
                recordLimitMet(m_counts.refused, "refused");
        }
    }

    // Closes a connection if there are too many for another one. Returns false if none may be closed.
    bool makeRoom()
    {
        if (m_options.maxConnections == 0 || m_table.size() < std::max(m_options.maxConnections, minMaxConnections))
            return true;
        const ConnectionState closed = m_table.closeOne();
        if (closed == ConnectionState::Serving)
            return false;
        if (closed == ConnectionState::Reading || closed == ConnectionState::Writing)
            recordLimitMet(m_counts.slowClosed, "slow_closed");
        else
            recordLimitMet(m_counts.idleClosed, "idle_closed");
        return true;
    }

    void serve(Tcp::socket socket)
    {
        ++m_connections;
        Asio::co_spawn(
            m_acceptor.get_executor(),
            [self = shared_from_this(), moved = std::move(socket)]() mutable {
                return self->serveConnection(std::move(moved));
            },
            [self = shared_from_this()](const std::exception_ptr&) { --self->m_connections; });
    }

    static bool hasReceived(const Tcp::socket& socket)
    {
        boost::system::error_code ignored;
        return socket.available(ignored) > 0;
    }

    // Closes the connections that wait for a request of which no byte has arrived, those that wait for their first one
    // only if stated.
    void closeIdleSockets(bool withNew)
    {
        m_table.closeWaiting(
            [withNew](Tcp::socket& socket, bool isNew) { return (withNew || !isNew) && !hasReceived(socket); });
    }

    // Whether another request is read from a connection.
    bool mayRead(const Tcp::socket& socket, const boost::beast::flat_buffer& buffer, bool isFirst) const
    {
        return !m_acceptingStopped && (!m_isStopping || isFirst || buffer.size() > 0 || hasReceived(socket));
    }

    Asio::awaitable<void> serveConnection(Tcp::socket socket)
    {
        boost::system::error_code error;
        socket.set_option(Tcp::no_delay(true), error); // NOLINT(bugprone-unused-return-value)
        ConnectionTable::Entry entry(m_table, socket);
        boost::beast::flat_buffer buffer;
        bool isFirst = true;
        bool keepOpen = true;
        while (keepOpen && mayRead(socket, buffer, isFirst))
            keepOpen = co_await serveRequest(entry, buffer, std::exchange(isFirst, false));
    }

    HttpLimits limits() const
    {
        return m_options.limits ? m_options.limits()
                                : HttpLimits { .bodyBytes = m_options.bodyLimitBytes };
    }

    // Cancels the socket's operations after the timeout; zero means no timeout.
    static std::unique_ptr<Watchdog> startTimeout(Tcp::socket& socket, Milliseconds timeout)
    {
        if (timeout.count() == 0)
            return nullptr;
        return std::make_unique<Watchdog>(socket.get_executor(), timeout, [&socket] {
            boost::system::error_code ignored;
            socket.cancel(ignored); // NOLINT(bugprone-unused-return-value)
        });
    }

    // Waits for the first byte of a request. Returns false if the connection ends first.
    Asio::awaitable<bool> waitForRequest(
        ConnectionTable::Entry& entry, const boost::beast::flat_buffer& buffer, bool isFirst)
    {
        if (buffer.size() > 0)
            co_return true;
        Tcp::socket& socket = entry.socket();
        const std::unique_ptr<Watchdog> watchdog = startTimeout(socket, limits().idleTimeout);
        entry.setState(isFirst ? ConnectionState::New : ConnectionState::Idle);
        boost::system::error_code error;
        co_await socket.async_wait(
            Tcp::socket::wait_read, Asio::redirect_error(Asio::use_awaitable, error));
        co_return !error;
    }

    // Reads and handles one request. Returns whether the connection may be used for another one.
    Asio::awaitable<bool> serveRequest(
        ConnectionTable::Entry& entry, boost::beast::flat_buffer& buffer, bool isFirst)
    {
        if (!co_await waitForRequest(entry, buffer, isFirst))
            co_return false;
        entry.setState(ConnectionState::Reading);
        Tcp::socket& socket = entry.socket();
        std::unique_ptr<MemoryAccount::Holder> holder;
        if (m_options.memory) {
            holder = m_options.memory->open(MemoryCause::Request, RuntimeClock::now());
            holder->setEviction([&socket] {
                boost::system::error_code ignored;
                socket.close(ignored); // NOLINT(bugprone-unused-return-value)
            });
        }
        HttpRequestReader reader(
            socket, buffer, [this] { return limits(); }, holder.get());
        ReadRequest read = co_await reader.read();
        // What is passed on may run, so its connection ends only with its response.
        if (holder)
            holder->setEviction(nullptr);
        if (holder && holder->isEvicted())
            recordLimitMet(m_counts.evicted, "evicted");
        if (read.end == RequestReadEnd::Disconnected)
            co_return false;
        if (read.end != RequestReadEnd::Complete) {
            // Others may use the memory while this client reads its refusal.
            holder.reset();
            buffer = {};
            co_await reject(socket, read.end);
            co_return false;
        }
        if (buffer.size() == 0 && buffer.capacity() > maxIdleBufferBytes)
            buffer.shrink_to_fit();
        entry.setState(ConnectionState::Serving);
        HttpExchangeImpl exchange(socket, std::move(read.request), read.keepAlive, read.acceptsChunks,
            m_closingAfterResponses, writeTimeout(), &entry);
        co_return co_await runHandler(exchange);
    }

    Milliseconds writeTimeout() const
    {
        const Milliseconds timeout = limits().idleTimeout;
        return timeout.count() > 0 ? timeout : defaultWriteTimeout;
    }

    void recordLimitMet(std::uint64_t& count, std::string_view limit)
    {
        ++count;
        if (m_options.onLimitMet)
            m_options.onLimitMet(limit);
    }

    void recordRejection(RequestReadEnd end)
    {
        if (end == RequestReadEnd::NoMemory)
            recordLimitMet(m_counts.withoutMemory, "without_memory");
        else if (end == RequestReadEnd::TooSlow)
            recordLimitMet(m_counts.tooSlow, "too_slow");
        else if (end != RequestReadEnd::Malformed)
            recordLimitMet(m_counts.tooLarge, "too_large");
    }

    // Responds to a request that could not be read, and closes the connection. Unread data is read and discarded first:
    // closing a socket with unread data resets the connection, which can destroy the response in
    // transit.
    Asio::awaitable<void> reject(Tcp::socket& socket, RequestReadEnd end)
    {
        recordRejection(end);
        ReadRejection rejection = rejectionFor(end);
        HttpExchangeImpl exchange(socket, HttpRequest {}, false, false, m_closingAfterResponses, lingerTimeout);
        boost::system::error_code error;
        try {
            co_await exchange.respond(
                rejection.status, "application/json", std::move(rejection.body), std::move(rejection.fields));
            socket.shutdown(Tcp::socket::shutdown_send, error); // NOLINT(bugprone-unused-return-value)
        } catch (const std::exception&) {
            exchange.abort();
        }
        const std::unique_ptr<Watchdog> watchdog = startTimeout(socket, lingerTimeout);
        std::array<char, readBufferBytes> discarded {};
        while (!error)
            co_await socket.async_read_some(
                Asio::buffer(discarded), Asio::redirect_error(Asio::use_awaitable, error));
    }

    Asio::awaitable<bool> runHandler(HttpExchangeImpl& exchange)
    {
        ++m_exchangesInFlight;
        exchange.watchPeer();
        bool failed = false;
        try {
            co_await m_handler(exchange);
        } catch (const std::exception&) {
            failed = true;
        }
        --m_exchangesInFlight;
        co_await exchange.stopWatchingPeer();
        if (failed || !exchange.isFinished())
            exchange.abort();
        co_return exchange.canReuseConnection();
    }

    HttpServerOptions m_options;
    HttpHandler m_handler;
    Tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_exchangesInFlight { 0 };
    bool m_acceptingStopped = false;
    bool m_closingAfterResponses = false;
    // Set by stopAfterPendingRequests().
    std::atomic<bool> m_isStopping { false };
    std::atomic<std::size_t> m_connections { 0 };
    ConnectionTable m_table;
    HttpServerCounts m_counts;
};

HttpServer::HttpServer(
    Asio::io_context& context, HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handler)))
{
    m_impl->storePort();
    m_impl->start();
}

HttpServer::~HttpServer()
{
    m_impl->stopAccepting();
}

std::uint16_t HttpServer::port() const
{
    return m_impl->port();
}

std::size_t HttpServer::exchangesInFlight() const
{
    return m_impl->exchangesInFlight();
}

HttpServerCounts HttpServer::counts() const
{
    return m_impl->counts();
}

void HttpServer::setMaxConnections(std::size_t connections)
{
    m_impl->setMaxConnections(connections);
}

void HttpServer::closeAfterResponses()
{
    m_impl->closeAfterResponses();
}

void HttpServer::stopAfterPendingRequests()
{
    m_impl->stopAfterPendingRequests();
}

void HttpServer::stopAccepting()
{
    m_impl->stopAccepting();
}

}
