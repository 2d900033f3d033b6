#include "libnet/httpexchangeimpl.h"

#include "libnet/watchdog.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <array>
#include <cstdio>
#include <optional>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace {

    constexpr unsigned httpVersion11 = 11;
    constexpr int statusesPerClass = 100;
    constexpr int statusNoContent = 204;
    constexpr int statusNotModified = 304;
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    // A smaller body is sent with its head in one call; a larger one is not copied for that.
    constexpr std::size_t maxJoinedBytes = 16'384;
    // Bytes of one write. A peer that has accepted them makes progress.
    constexpr std::size_t maxWriteBytes = 65'536;

    std::string headOf(const Http::response<Http::empty_body>& response)
    {
        std::string text;
        Http::response_serializer<Http::empty_body> serializer(response);
        boost::system::error_code error;
        serializer.next(error, [&](boost::system::error_code&, const auto& buffers) {
            for (const auto& buffer : boost::beast::buffers_range_ref(buffers))
                text.append(static_cast<const char*>(buffer.data()), buffer.size());
        });
        return text;
    }

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

HttpRequest toRequest(Http::request<Http::string_body> message)
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
    request.body = std::move(message.body());
    return request;
}

HttpExchangeImpl::HttpExchangeImpl(
    Asio::ip::tcp::socket& socket, HttpRequest request, bool keepAlive,
    bool acceptsChunks, const bool& isClosing, Milliseconds writeTimeout,
    ConnectionTable::Entry* connection)
    : m_socket(socket)
    , m_request(std::move(request))
    , m_watchEnded(socket.get_executor())
    , m_keepAlive(keepAlive)
    , m_acceptsChunks(acceptsChunks)
    , m_isClosing(isClosing)
    , m_writeTimeout(writeTimeout)
    , m_connection(connection)
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
    Http::response<Http::empty_body> response;
    fillHeader(response, status, std::move(contentType), fields);
    // Responses with these statuses have no body, and no length of one.
    const bool mayHaveBody = status / statusesPerClass != 1 && status != statusNoContent && status != statusNotModified;
    if (mayHaveBody)
        response.content_length(body.size());
    std::string head = headOf(response);
    if (mayHaveBody && body.size() <= maxJoinedBytes)
        head += body;
    co_await write(head);
    if (mayHaveBody && body.size() > maxJoinedBytes)
        co_await write(body);
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
    const std::string head = headOf(response);
    co_await write(head);
}

Asio::awaitable<void> HttpExchangeImpl::writeChunk(std::string_view data)
{
    if (data.empty())
        co_return;
    if (!m_acceptsChunks)
        co_return co_await write(data);
    std::array<char, 2 * sizeof(std::size_t) + lineEnd.size() + 1> size {};
    const int digits = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
    std::string chunk;
    chunk.reserve(static_cast<std::size_t>(digits) + data.size() + lineEnd.size());
    chunk.append(size.data(), static_cast<std::size_t>(digits)).append(data).append(lineEnd);
    co_await write(chunk);
}

Asio::awaitable<void> HttpExchangeImpl::endStream()
{
    if (m_acceptsChunks)
        co_await write(lastChunk);
    m_finished = true;
}

Asio::awaitable<void> HttpExchangeImpl::write(std::string_view bytes)
{
    while (!bytes.empty()) {
        std::optional<Watchdog> watchdog;
        if (m_writeTimeout.count() > 0)
            watchdog.emplace(m_socket.get_executor(), m_writeTimeout, [this] { abort(); });
        if (m_connection)
            m_connection->setState(ConnectionState::Writing);
        const std::string_view part = bytes.substr(0, maxWriteBytes);
        const std::size_t written = co_await m_socket.async_write_some(
            Asio::const_buffer(part.data(), part.size()), Asio::use_awaitable);
        bytes.remove_prefix(written);
        if (m_connection)
            m_connection->setState(ConnectionState::Serving);
        if (m_onProgress)
            m_onProgress(RuntimeClock::now());
    }
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
