#include "libnet/httpexchangeimpl.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion11 = 11;

    // Whether a readable socket has been closed by its peer rather than having data.
    bool isClosedByPeer(Asio::ip::tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true, error); // NOLINT(bugprone-unused-return-value)
        char byte = 0;
        const std::size_t received = socket.receive(
            Asio::buffer(&byte, 1), Asio::ip::tcp::socket::message_peek, error);
        if (error == Asio::error::would_block)
            return false;
        return error || received == 0;
    }

}

HttpRequest toRequest(const Http::request<Http::string_body>& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    const std::string& target = request.target;
    const std::size_t querySeparator = std::min(target.find('?'), target.size());
    request.path = target.substr(0, querySeparator);
    request.query = target.substr(std::min(querySeparator + 1, target.size()));
    for (const auto& field : message)
        request.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
    request.body = message.body();
    return request;
}

HttpExchangeImpl::HttpExchangeImpl(
    Asio::ip::tcp::socket& socket, HttpRequest request, bool keepAlive,
    bool acceptsChunks, const bool& isClosing)
    : m_socket(socket)
    , m_request(std::move(request))
    , m_watchEnded(socket.get_executor())
    , m_keepAlive(keepAlive)
    , m_acceptsChunks(acceptsChunks)
    , m_isClosing(isClosing)
{
}

template <typename Body>
void HttpExchangeImpl::fillHeader(Http::response<Body>& response, int status,
    std::string contentType, const std::vector<HttpField>& fields)
{
    m_keepAlive = m_keepAlive && !m_isClosing;
    response.version(httpVersion11);
    response.result(static_cast<unsigned>(status));
    response.keep_alive(m_keepAlive);
    if (!contentType.empty())
        response.set(Http::field::content_type, contentType);
    for (const HttpField& field : fields)
        response.insert(field.name, field.value);
}

Asio::awaitable<void> HttpExchangeImpl::respond(
    int status, std::string contentType, std::string body, std::vector<HttpField> fields)
{
    m_responseStarted = true;
    Http::response<Http::string_body> response;
    fillHeader(response, status, std::move(contentType), fields);
    response.body() = std::move(body);
    response.prepare_payload();
    co_await Http::async_write(m_socket, response, Asio::use_awaitable);
    m_finished = true;
}

Asio::awaitable<void> HttpExchangeImpl::beginStream(
    int status, std::string contentType, std::vector<HttpField> fields)
{
    m_responseStarted = true;
    m_keepAlive = m_keepAlive && m_acceptsChunks;
    Http::response<Http::empty_body> response;
    fillHeader(response, status, std::move(contentType), fields);
    response.chunked(m_acceptsChunks);
    Http::response_serializer<Http::empty_body> serializer(response);
    co_await Http::async_write_header(m_socket, serializer, Asio::use_awaitable);
}

Asio::awaitable<void> HttpExchangeImpl::writeChunk(std::string_view data)
{
    if (data.empty())
        co_return;
    if (!m_acceptsChunks) {
        co_await Asio::async_write(
            m_socket, Asio::const_buffer(data.data(), data.size()), Asio::use_awaitable);
        co_return;
    }
    co_await Asio::async_write(m_socket,
        Http::make_chunk(Asio::const_buffer(data.data(), data.size())), Asio::use_awaitable);
}

Asio::awaitable<void> HttpExchangeImpl::endStream()
{
    if (m_acceptsChunks)
        co_await Asio::async_write(m_socket, Http::make_chunk_last(), Asio::use_awaitable);
    m_finished = true;
}

void HttpExchangeImpl::setPeerDisconnectedHandler(std::function<void()> handler)
{
    m_peerDisconnectedHandler = std::move(handler);
}

void HttpExchangeImpl::abort()
{
    boost::system::error_code ignored;
    // An orderly close would end a stream without chunks as complete.
    if (!m_acceptsChunks)
        m_socket.set_option(Asio::socket_base::linger(true, 0), ignored); // NOLINT(bugprone-unused-return-value)
    m_socket.close(ignored); // NOLINT(bugprone-unused-return-value)
    m_keepAlive = false;
}

void HttpExchangeImpl::watchPeer()
{
    m_watching = true;
    Asio::co_spawn(m_socket.get_executor(), watchConnection(), Asio::detached);
}

Asio::awaitable<void> HttpExchangeImpl::stopWatchingPeer()
{
    m_stoppingWatch = true;
    m_peerDisconnectedHandler = nullptr;
    boost::system::error_code ignored;
    m_socket.cancel(ignored); // NOLINT(bugprone-unused-return-value)
    while (m_watching)
        co_await m_watchEnded.wait();
}

Asio::awaitable<void> HttpExchangeImpl::watchConnection()
{
    boost::system::error_code error;
    co_await m_socket.async_wait(Asio::ip::tcp::socket::wait_read,
        Asio::redirect_error(Asio::use_awaitable, error));
    if (!m_stoppingWatch && !error && isClosedByPeer(m_socket)) {
        m_peerDisconnected = true;
        if (m_peerDisconnectedHandler)
            m_peerDisconnectedHandler();
    }
    m_watching = false;
    m_watchEnded.notifyAll();
}

}
