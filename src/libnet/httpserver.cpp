#include "libnet/httpserver.h"

#include "libnet/asyncevent.h"
#include "libnet/httpexchangeimpl.h"
#include "libnet/requesthead.h"
#include "libnet/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <utility>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::string_view headerEnd = "\r\n\r\n";
    constexpr std::size_t readBufferBytes = 4096;
    constexpr int statusBadRequest = 400;
    constexpr int statusTimeout = 408;
    constexpr int statusBodyTooLarge = 413;
    constexpr int statusHeaderTooLarge = 431;
    // How long a new connection may take to send its first request once the server stops.
    constexpr Milliseconds firstRequestTimeout { 300 };
    // How long the unread data of a rejected request is read and discarded.
    constexpr Milliseconds lingerTimeout { 500 };

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
        for (const auto& [socket, isNew] : m_idleSockets)
            socket->close(ignored); // NOLINT(bugprone-unused-return-value)
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
    void storePort() { m_port = m_acceptor.local_endpoint().port(); }

private:
    Asio::awaitable<void> acceptConnections()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await m_acceptor.async_accept(
                Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                continue;
            serve(std::move(socket));
        }
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
        boost::system::error_code ignored;
        for (const auto& [socket, isNew] : m_idleSockets) {
            if ((withNew || !isNew) && !hasReceived(*socket))
                socket->close(ignored); // NOLINT(bugprone-unused-return-value)
        }
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
        boost::beast::flat_buffer buffer;
        bool isFirst = true;
        bool keepOpen = true;
        while (keepOpen && mayRead(socket, buffer, isFirst))
            keepOpen = co_await serveRequest(socket, buffer, std::exchange(isFirst, false));
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
    Asio::awaitable<bool> waitForRequest(Tcp::socket& socket, const boost::beast::flat_buffer& buffer,
        Milliseconds timeout, bool isFirst)
    {
        if (buffer.size() > 0)
            co_return true;
        const std::unique_ptr<Watchdog> watchdog = startTimeout(socket, timeout);
        m_idleSockets.emplace(&socket, isFirst);
        boost::system::error_code error;
        co_await socket.async_wait(
            Tcp::socket::wait_read, Asio::redirect_error(Asio::use_awaitable, error));
        m_idleSockets.erase(&socket);
        co_return !error;
    }

    // Reads up to the end of a request's header. Returns the status to reject it with, zero for a
    // valid header, or nothing if the connection ended.
    static Asio::awaitable<std::optional<int>> readHeader(
        Tcp::socket& socket, boost::beast::flat_buffer& buffer, HttpLimits limits)
    {
        const std::unique_ptr<Watchdog> watchdog = startTimeout(socket, limits.headerTimeout);
        while (true) {
            const std::string_view received(
                static_cast<const char*>(buffer.data().data()), buffer.size());
            const std::size_t end = received.find(headerEnd);
            if (end != std::string_view::npos && end <= limits.headerBytes)
                co_return findHeaderError(received.substr(0, end + headerEnd.size()))
                    ? statusBadRequest
                    : 0;
            if (received.size() > limits.headerBytes)
                co_return statusHeaderTooLarge;
            boost::system::error_code error;
            const std::size_t count = co_await socket.async_read_some(
                buffer.prepare(readBufferBytes), Asio::redirect_error(Asio::use_awaitable, error));
            if (error && watchdog && watchdog->hasExpired())
                co_return statusTimeout;
            if (error)
                co_return std::nullopt;
            buffer.commit(count);
        }
    }

    // Reads and handles one request. Returns whether the connection may be used for another one.
    Asio::awaitable<bool> serveRequest(Tcp::socket& socket, boost::beast::flat_buffer& buffer, bool isFirst)
    {
        const HttpLimits currentLimits = limits();
        if (!co_await waitForRequest(socket, buffer, currentLimits.idleTimeout, isFirst))
            co_return false;
        const std::optional<int> errorStatus = co_await readHeader(socket, buffer, currentLimits);
        if (!errorStatus)
            co_return false;
        if (*errorStatus != 0) {
            co_await rejectMalformed(socket, *errorStatus,
                "request header is malformed, too large or not received in time");
            co_return false;
        }
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(currentLimits.bodyBytes);
        parser.header_limit(static_cast<std::uint32_t>(currentLimits.headerBytes + headerEnd.size()));
        boost::system::error_code error;
        {
            const std::unique_ptr<Watchdog> watchdog
                = startTimeout(socket, currentLimits.idleTimeout);
            co_await Http::async_read(
                socket, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        }
        if (isConnectionLost(error))
            co_return false;
        if (error) {
            co_await rejectMalformed(socket,
                error == Http::error::body_limit ? statusBodyTooLarge : statusBadRequest,
                error.message());
            co_return false;
        }
        constexpr unsigned httpVersion11 = 11;
        HttpExchangeImpl exchange(socket, toRequest(parser.get()), parser.get().keep_alive(),
            parser.get().version() >= httpVersion11, m_closingAfterResponses);
        co_return co_await runHandler(exchange);
    }

    // Whether the connection ended, as opposed to delivering malformed input.
    static bool isConnectionLost(boost::system::error_code error)
    {
        static const auto& parserErrors = Http::make_error_code(Http::error::bad_method).category();
        return error
            && (error.category() != parserErrors || error == Http::error::end_of_stream
                || error == Http::error::partial_message);
    }

    // Responds to malformed input and closes the connection. Unread data is read and discarded first:
    // closing a socket with unread data resets the connection, which can destroy the response in
    // transit.
    Asio::awaitable<void> rejectMalformed(Tcp::socket& socket, int status, std::string detail)
    {
        HttpExchangeImpl exchange(socket, HttpRequest {}, false, false, m_closingAfterResponses);
        std::string body = R"({"refusal":{"reason":"malformed_request","ran":"unknown",)"
                           R"("retry_after_ms":0,"detail":")"
            + detail + "\"}}";
        boost::system::error_code error;
        try {
            co_await exchange.respond(status, "application/json", std::move(body));
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
    // Connections that wait for a request, and whether it is their first.
    std::map<Tcp::socket*, bool> m_idleSockets;
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
