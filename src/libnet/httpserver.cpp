#include "libnet/httpserver.h"

#include "libnet/httpexchangeimpl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <atomic>
#include <set>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

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
            [self = shared_from_this()] { return self->accept(); }, Asio::detached);
    }

    std::uint16_t port() const { return m_port; }
    std::size_t exchangesInFlight() const { return m_exchanges; }

    void stopAccepting()
    {
        m_stopping = true;
        boost::system::error_code ignored;
        m_acceptor.close(ignored); // NOLINT(bugprone-unused-return-value)
        for (Tcp::socket* socket : m_idle)
            socket->close(ignored); // NOLINT(bugprone-unused-return-value)
    }

    void rememberPort() { m_port = m_acceptor.local_endpoint().port(); }

private:
    Asio::awaitable<void> accept()
    {
        while (m_acceptor.is_open()) {
            boost::system::error_code error;
            Tcp::socket socket = co_await m_acceptor.async_accept(
                Asio::redirect_error(Asio::use_awaitable, error));
            if (error)
                continue;
            Asio::co_spawn(
                m_acceptor.get_executor(),
                [self = shared_from_this(), moved = std::move(socket)]() mutable {
                    return self->serveConnection(std::move(moved));
                },
                Asio::detached);
        }
    }

    Asio::awaitable<void> serveConnection(Tcp::socket socket)
    {
        boost::system::error_code error;
        socket.set_option(Tcp::no_delay(true), error); // NOLINT(bugprone-unused-return-value)
        boost::beast::flat_buffer buffer;
        bool keep = true;
        while (keep && !m_stopping)
            keep = co_await serveRequest(socket, buffer);
    }

    // Reads and answers one request; returns whether the connection may carry another.
    Asio::awaitable<bool> serveRequest(Tcp::socket& socket, boost::beast::flat_buffer& buffer)
    {
        Http::request_parser<Http::string_body> parser;
        parser.body_limit(m_options.bodyLimitBytes);
        boost::system::error_code error;
        m_idle.insert(&socket);
        co_await Http::async_read(
            socket, buffer, parser, Asio::redirect_error(Asio::use_awaitable, error));
        m_idle.erase(&socket);
        if (isConnectionLost(error))
            co_return false;
        HttpExchangeImpl exchange(socket, error ? HttpRequest {} : toRequest(parser.get()),
            parser.get().keep_alive() && !error);
        if (error) {
            co_await refuseUnreadable(exchange, error);
            co_return false;
        }
        co_return co_await runHandler(exchange);
    }

    // Whether the connection ended, as opposed to carrying something unreadable.
    static bool isConnectionLost(boost::system::error_code error)
    {
        static const auto& parserErrors = Http::make_error_code(Http::error::bad_method).category();
        return error
            && (error.category() != parserErrors || error == Http::error::end_of_stream
                || error == Http::error::partial_message);
    }

    static Asio::awaitable<void> refuseUnreadable(
        HttpExchangeImpl& exchange, boost::system::error_code error)
    {
        constexpr int badRequest = 400;
        constexpr int contentTooLarge = 413;
        const int status = error == Http::error::body_limit ? contentTooLarge : badRequest;
        try {
            std::string body
                = R"({"refusal":{"reason":"malformed_request","ran":"unknown",)"
                  R"("retry_after_ms":0,"detail":")"
                + error.message() + "\"}}";
            co_await exchange.respond(status, "application/json", std::move(body));
        } catch (const std::exception&) {
            exchange.abort();
        }
    }

    Asio::awaitable<bool> runHandler(HttpExchangeImpl& exchange)
    {
        ++m_exchanges;
        exchange.watchPeer();
        bool failed = false;
        try {
            co_await m_handler(exchange);
        } catch (const std::exception&) {
            failed = true;
        }
        --m_exchanges;
        co_await exchange.unwatchPeer();
        if (failed || !exchange.isFinished())
            exchange.abort();
        co_return exchange.mayContinue();
    }

    HttpServerOptions m_options;
    HttpHandler m_handler;
    Tcp::acceptor m_acceptor;
    std::uint16_t m_port = 0;
    std::atomic<std::size_t> m_exchanges { 0 };
    bool m_stopping = false;
    std::set<Tcp::socket*> m_idle;
};

HttpServer::HttpServer(
    Asio::io_context& context, HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handler)))
{
    m_impl->rememberPort();
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

void HttpServer::stopAccepting()
{
    m_impl->stopAccepting();
}

}
