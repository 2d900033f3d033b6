#include "libnet/httpclient.h"

#include "libnet/httpstreamimpl.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Apricot {

namespace Asio = boost::asio;
namespace Beast = boost::beast;
namespace Http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion11 = 11;
    // Data that the server's host has not acknowledged within this time is discarded, also while this
    // process is paused, so that it can't arrive after a network partition has ended.
    constexpr int unacknowledgedTimeoutMs = 3000;

    // With TCP_USER_TIMEOUT, probes give up once the peer has acknowledged nothing for that time, whatever their
    // number.
    void enableKeepaliveProbes(Asio::ip::tcp::socket& socket)
    {
        constexpr int idleSeconds = 1;
        constexpr int intervalSeconds = 1;
        constexpr int probeCount = 2;
        using Idle = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
        using Interval = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
        using Count = Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
        socket.set_option(Asio::socket_base::keep_alive(true));
        socket.set_option(Idle(idleSeconds));
        socket.set_option(Interval(intervalSeconds));
        socket.set_option(Count(probeCount));
    }

    bool isReusable(HttpConnection& connection)
    {
        boost::system::error_code error;
        char byte = 0;
        connection.socket().non_blocking(true, error); // NOLINT(bugprone-unused-return-value)
        connection.socket().receive(
            Asio::buffer(&byte, 1), Asio::ip::tcp::socket::message_peek, error);
        return error == Asio::error::would_block;
    }

    void throwIfCancelled(const HttpCall& call)
    {
        if (call.cancel && call.cancel->isCancelled())
            throw boost::system::system_error(Asio::error::operation_aborted);
    }

}

void HttpCancel::cancel()
{
    m_cancelled = true;
    if (const auto action = std::exchange(m_action, nullptr))
        action();
}

void HttpCancel::setAction(std::function<void()> action)
{
    m_action = std::move(action);
}

class HttpClient::Impl : public std::enable_shared_from_this<HttpClient::Impl> {
public:
    Impl(Asio::io_context& context, HttpClientOptions options)
        : m_context(context)
        , m_options(std::move(options))
    {
    }

    // Returns an idle connection, or nothing if there is none.
    std::shared_ptr<HttpConnection> acquireIdleConnection(const HttpCall& call)
    {
        auto idle = popIdleConnection();
        if (idle)
            setCancelAction(call, idle);
        return idle;
    }

    Asio::awaitable<std::shared_ptr<HttpConnection>> openConnection(const HttpCall& call)
    {
        auto connection = std::make_shared<HttpConnection>(m_context);
        setCancelAction(call, connection);
        connection->expires_after(m_options.connectTimeout);
        const Endpoint address = targetAddress();
        const Asio::ip::tcp::endpoint target(Asio::ip::make_address(address.address), address.port);
        co_await connection->async_connect(target, Asio::use_awaitable);
        connection->socket().set_option(Asio::ip::tcp::no_delay(true));
        connection->socket().set_option(
            Asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                unacknowledgedTimeoutMs));
        if (m_options.usesKeepaliveProbes)
            enableKeepaliveProbes(connection->socket());
        co_return connection;
    }

    void releaseConnection(std::shared_ptr<HttpConnection> connection, Milliseconds idleTimeout)
    {
        connection->expires_never();
        if (m_idleConnections.size() < m_options.idleConnections)
            m_idleConnections.push_back({ std::move(connection),
                RuntimeClock::now() + std::min(idleTimeout, m_options.idleTimeout) });
    }

    void closeIdleConnections() { m_idleConnections.clear(); }

    Http::request<Http::string_body> toMessage(HttpCall& call) const
    {
        Http::request<Http::string_body> message;
        message.version(httpVersion11);
        message.method_string(call.method);
        message.target(call.target);
        message.set(Http::field::host, m_options.address);
        for (const HttpField& field : call.fields) {
            if (Beast::iequals(field.name, "Host"))
                message.set(Http::field::host, field.value);
            else
                message.insert(field.name, field.value);
        }
        message.body() = std::move(call.body);
        message.prepare_payload();
        return message;
    }

private:
    Endpoint targetAddress() const
    {
        Endpoint listed { m_options.address, m_options.port };
        return m_options.translation ? m_options.translation(listed) : listed;
    }

    struct IdleConnection {
        std::shared_ptr<HttpConnection> connection;
        TimePoint usableUntil {};
    };

    std::shared_ptr<HttpConnection> popIdleConnection()
    {
        while (!m_idleConnections.empty()) {
            const IdleConnection idle = std::move(m_idleConnections.back());
            m_idleConnections.pop_back();
            if (RuntimeClock::now() < idle.usableUntil && isReusable(*idle.connection))
                return idle.connection;
        }
        return nullptr;
    }

    static void setCancelAction(
        const HttpCall& call, const std::shared_ptr<HttpConnection>& connection)
    {
        throwIfCancelled(call);
        if (call.cancel)
            call.cancel->setAction([weak = std::weak_ptr<HttpConnection>(connection)] {
                if (const auto open = weak.lock())
                    open->close();
            });
    }

    Asio::io_context& m_context;
    HttpClientOptions m_options;
    std::vector<IdleConnection> m_idleConnections;
};

HttpClient::HttpClient(Asio::io_context& context, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(context, std::move(options)))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::closeIdleConnections()
{
    m_impl->closeIdleConnections();
}

Asio::awaitable<boost::system::error_code> tryConnect(
    Asio::io_context& context, Endpoint endpoint, Milliseconds timeout)
{
    HttpConnection connection(context);
    connection.expires_after(timeout);
    const Asio::ip::tcp::endpoint target(Asio::ip::make_address(endpoint.address), endpoint.port);
    boost::system::error_code error;
    co_await connection.async_connect(target, Asio::redirect_error(Asio::use_awaitable, error));
    co_return error;
}

Asio::awaitable<ResponseBody> readBody(HttpStream& stream, std::unique_ptr<MemoryAccount::Holder> holder)
{
    constexpr std::size_t maxBodyBytes = 8 << 20;
    // Bounds the memory of the process, so it is shared by all clients.
    static ByteBudget budget(32 << 20);
    ResponseBody body { .lease = ByteLease(budget), .holder = std::move(holder) };
    while (std::optional<std::string> data = co_await stream.read()) {
        if (body.bytes.size() + data->size() > maxBodyBytes)
            throw boost::system::system_error(Http::error::body_limit);
        // A string that grows doubles its memory.
        const bool isGrowing = body.bytes.size() + data->size() > body.bytes.capacity();
        const std::size_t needed = std::max(body.bytes.size() + data->size(), (isGrowing ? 2 : 1) * body.bytes.capacity());
        const bool hasMemory = body.holder ? body.holder->tryResize(needed, RuntimeClock::now())
                                           : body.lease.tryAcquire(data->size());
        if (!hasMemory)
            throw boost::system::system_error(Asio::error::no_buffer_space);
        body.bytes += *data;
    }
    co_return body;
}

Asio::awaitable<HttpResponse> readResponse(HttpStream& stream, Milliseconds timeout)
{
    constexpr int bodyTimeouts = 4;
    stream.setTotalTimeout(bodyTimeouts * timeout);
    HttpResponse response;
    static_cast<HttpResponseHead&>(response) = stream.head();
    ResponseBody body = co_await readBody(stream);
    response.body = std::move(body.bytes);
    co_return response;
}

Asio::awaitable<HttpResponse> HttpClient::send(HttpCall call)
{
    const Milliseconds timeout = call.timeout;
    const std::unique_ptr<HttpStream> stream = co_await open(std::move(call));
    co_return co_await readResponse(*stream, timeout);
}

Asio::awaitable<std::unique_ptr<HttpStream>> HttpClient::open(HttpCall call, HttpSendGate gate)
{
    auto shared = std::make_shared<HttpCall>(std::move(call));
    co_return co_await open(std::move(shared), std::move(gate));
}

Asio::awaitable<std::unique_ptr<HttpStream>> HttpClient::open(
    std::shared_ptr<HttpCall> call, HttpSendGate gate)
{
    // Keeps the pool alive only while this call runs.
    const std::shared_ptr<Impl> impl = m_impl;
    std::shared_ptr<HttpConnection> connection;
    if (!call->usesNewConnection)
        connection = impl->acquireIdleConnection(*call);
    const bool isReused = connection != nullptr;
    if (!isReused)
        connection = co_await impl->openConnection(*call);
    throwIfCancelled(*call);
    auto stream = std::make_unique<HttpStreamImpl>(std::move(connection), isReused, call->timeout,
        [weak = std::weak_ptr<Impl>(impl), cancel = call->cancel](
            std::shared_ptr<HttpConnection> released, Milliseconds idleTimeout) {
            if (cancel)
                cancel->setAction(nullptr);
            if (const std::shared_ptr<Impl> pool = weak.lock())
                pool->releaseConnection(std::move(released), idleTimeout);
        });
    if (gate && !gate()) {
        stream->releaseUnused();
        co_return nullptr;
    }
    Http::request<Http::string_body> message = impl->toMessage(*call);
    co_await stream->exchange(std::move(message), std::move(call->ownerOf));
    co_return stream;
}

}
