#include "libnet/httpclient.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>
#include <deque>
#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Apricot {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion11 = 11;
    constexpr std::size_t readBytes = 16384;
    // Bytes that the server's host has not acknowledged for so long are given up, also while this
    // process is paused, so that they can't arrive after a cut has healed.
    constexpr int unacknowledgedLimitMs = 3000;

    using Connection = Beast::tcp_stream;

    bool isReusable(Connection& connection)
    {
        boost::system::error_code error;
        char byte = 0;
        connection.socket().non_blocking(true, error); // NOLINT(bugprone-unused-return-value)
        connection.socket().receive(
            Asio::buffer(&byte, 1), Asio::ip::tcp::socket::message_peek, error);
        return error == Asio::error::would_block;
    }

    std::vector<HttpField> copyFields(const Http::fields& source)
    {
        std::vector<HttpField> fields;
        for (const auto& field : source)
            fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
        return fields;
    }

}

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
    Impl(Asio::io_context& context, HttpClientOptions options)
        : m_context(context)
        , m_options(std::move(options))
    {
    }

    // Takes an idle connection, or makes one.
    Asio::awaitable<std::unique_ptr<Connection>> take()
    {
        while (!m_idle.empty()) {
            std::unique_ptr<Connection> connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (isReusable(*connection))
                co_return connection;
        }
        auto connection = std::make_unique<Connection>(m_context);
        connection->expires_after(m_options.connectTimeout);
        const Asio::ip::tcp::endpoint target(
            Asio::ip::make_address(m_options.address), m_options.port);
        co_await connection->async_connect(target, Asio::use_awaitable);
        connection->socket().set_option(Asio::ip::tcp::no_delay(true));
        connection->socket().set_option(
            Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                unacknowledgedLimitMs));
        co_return connection;
    }

    void giveBack(std::unique_ptr<Connection> connection)
    {
        connection->expires_never();
        if (m_idle.size() < m_options.idleConnections)
            m_idle.push_back(std::move(connection));
    }

    Http::request<Http::string_body> toMessage(HttpCall& call) const
    {
        Http::request<Http::string_body> message;
        message.version(httpVersion11);
        message.method_string(call.method);
        message.target(call.target);
        message.set(Http::field::host, m_options.address);
        for (const HttpField& field : call.fields)
            message.set(field.name, field.value);
        message.body() = std::move(call.body);
        message.prepare_payload();
        return message;
    }

private:
    Asio::io_context& m_context;
    HttpClientOptions m_options;
    std::vector<std::unique_ptr<Connection>> m_idle;
};

namespace {

    class HttpStreamImpl : public HttpStream {
    public:
        using Release = std::function<void(std::unique_ptr<Connection>)>;

        HttpStreamImpl(
            std::unique_ptr<Connection> connection, Milliseconds timeout, Release release)
            : m_connection(std::move(connection))
            , m_timeout(timeout)
            , m_release(std::move(release))
        {
            m_parser.body_limit(boost::none);
        }

        Asio::awaitable<void> exchange(Http::request<Http::string_body> message)
        {
            m_connection->expires_after(m_timeout);
            co_await Http::async_write(*m_connection, message, Asio::use_awaitable);
            co_await Http::async_read_header(
                *m_connection, m_buffer, m_parser, Asio::use_awaitable);
            m_fields = copyFields(m_parser.get());
        }

        // Returns the unused connection.
        void withdraw() { m_release(std::move(m_connection)); }

        int status() const override { return static_cast<int>(m_parser.get().result_int()); }

        std::string_view field(std::string_view name) const override
        {
            for (const HttpField& field : m_fields) {
                if (Beast::iequals(field.name, name))
                    return field.value;
            }
            return {};
        }

        std::vector<HttpField> takeFields() { return std::move(m_fields); }

        Asio::awaitable<std::optional<std::string>> read() override
        {
            while (m_connection) {
                if (m_parser.is_done()) {
                    finish();
                    break;
                }
                std::string data = co_await readSome();
                if (!data.empty())
                    co_return data;
            }
            co_return std::nullopt;
        }

    private:
        Asio::awaitable<std::string> readSome()
        {
            m_parser.get().body().data = m_storage.data();
            m_parser.get().body().size = m_storage.size();
            m_connection->expires_after(m_timeout);
            boost::system::error_code error;
            co_await Http::async_read_some(*m_connection, m_buffer, m_parser,
                Asio::redirect_error(Asio::use_awaitable, error));
            if (error && error != Http::error::need_buffer)
                throw boost::system::system_error(error);
            co_return std::string(m_storage.data(), m_storage.size() - m_parser.get().body().size);
        }

        void finish()
        {
            if (m_parser.keep_alive() && m_buffer.size() == 0)
                m_release(std::move(m_connection));
            m_connection.reset();
        }

        std::unique_ptr<Connection> m_connection;
        Milliseconds m_timeout;
        Release m_release;
        Beast::flat_buffer m_buffer;
        Http::response_parser<Http::buffer_body> m_parser;
        std::vector<HttpField> m_fields;
        std::array<char, readBytes> m_storage {};
    };

}

HttpClient::HttpClient(Asio::io_context& context, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

Asio::awaitable<HttpResponse> HttpClient::send(HttpCall call)
{
    const std::unique_ptr<HttpStream> stream = co_await open(std::move(call));
    HttpResponse response;
    response.status = stream->status();
    response.fields = static_cast<HttpStreamImpl&>(*stream).takeFields();
    while (std::optional<std::string> data = co_await stream->read())
        response.body += *data;
    co_return response;
}

Asio::awaitable<std::unique_ptr<HttpStream>> HttpClient::open(HttpCall call, HttpSendGate gate)
{
    // Keeps the pool alive while this call runs, and no longer.
    const std::shared_ptr<Impl> impl = m_impl;
    std::unique_ptr<Connection> connection = co_await impl->take();
    const Milliseconds timeout = call.timeout;
    Http::request<Http::string_body> message = impl->toMessage(call);
    auto stream = std::make_unique<HttpStreamImpl>(std::move(connection), timeout,
        [weak = std::weak_ptr<Impl>(impl)](std::unique_ptr<Connection> returned) {
            if (const std::shared_ptr<Impl> pool = weak.lock())
                pool->giveBack(std::move(returned));
        });
    if (gate && !gate()) {
        stream->withdraw();
        co_return nullptr;
    }
    co_await stream->exchange(std::move(message));
    co_return stream;
}

}
