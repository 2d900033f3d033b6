#include "libnet/httpstreamimpl.h"

#include "libnet/log.h"
#include "libnet/messagehead.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/json/object.hpp>

#include <charconv>

#include <netinet/in.h>
#include <netinet/tcp.h>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;

namespace {

    constexpr std::string_view keepAliveTimeoutKey = "timeout=";
    // How long before the server closes an idle connection it is no longer reused.
    constexpr Milliseconds keepAliveMargin { 500 };

    // Idle time from the server's keep-alive timeout less the margin, or the maximum if there is
    // none.
    Milliseconds parseKeepAliveTimeout(const HttpResponseHead& head)
    {
        const std::string_view text = head.field("Keep-Alive");
        const std::size_t position = text.find(keepAliveTimeoutKey);
        if (position == std::string_view::npos)
            return Milliseconds::max();
        const char* begin = text.data() + position + keepAliveTimeoutKey.size();
        int seconds = 0;
        const auto [end, error] = std::from_chars(begin, text.data() + text.size(), seconds);
        if (error != std::errc())
            return Milliseconds::max();
        return std::max(Milliseconds(std::chrono::seconds(seconds)) - keepAliveMargin,
            Milliseconds(0));
    }

    // Whether the server has closed its direction of the connection, and the other one is open.
    bool isClosedByServer(Asio::ip::tcp::socket& socket)
    {
        tcp_info info {};
        socklen_t size = sizeof(info);
        const int result = getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size);
        return result == 0 && info.tcpi_state == TCP_CLOSE_WAIT;
    }

}

HttpStreamImpl::HttpStreamImpl(std::shared_ptr<HttpConnection> connection, bool isReused, Milliseconds timeout,
    ReleaseHandler releaseHandler)
    : m_connection(std::move(connection))
    , m_isReused(isReused)
    , m_timeout(timeout)
    , m_releaseHandler(std::move(releaseHandler))
{
}

HttpStreamImpl::~HttpStreamImpl()
{
    // A request write in progress keeps the connection object alive.
    if (m_connection)
        m_connection->close();
}

Asio::awaitable<void> HttpStreamImpl::exchange(Http::request<Http::string_body> message,
    std::function<ResponseOwner(const HttpResponseHead&)> ownerOf)
{
    // The request is written concurrently with the read: a server may respond before it has read a
    // long body.
    m_pendingWrite = std::make_shared<PendingWrite>(
        PendingWrite { .message = std::move(message), .ended = AsyncEvent(m_connection->get_executor()) });
    Asio::co_spawn(m_connection->get_executor(), writeRequest(m_connection, m_pendingWrite),
        Asio::detached);
    setTotalTimeout(m_timeout);
    co_await readHeader();
    while (isForeign(ownerOf)) {
        recordSkippedResponse();
        m_hasSkippedForeign = true;
        while (!m_parser->is_done())
            co_await readSome();
        co_await readHeader();
    }
    m_hasTotalTimeout = false;
}

void HttpStreamImpl::setTotalTimeout(Milliseconds timeout)
{
    m_hasTotalTimeout = true;
    if (m_connection)
        m_connection->expires_after(timeout);
}

bool HttpStreamImpl::isForeign(const std::function<ResponseOwner(const HttpResponseHead&)>& ownerOf) const
{
    const ResponseOwner owner = ownerOf ? ownerOf(m_head) : ResponseOwner::ThisCall;
    if (owner == ResponseOwner::Unidentified && m_isReused)
        throw boost::system::system_error(make_error_code(boost::system::errc::protocol_error));
    return owner == ResponseOwner::OtherCall;
}

void HttpStreamImpl::recordSkippedResponse()
{
    constexpr int maxSkippedResponses = 16;
    if (++m_skippedResponses > maxSkippedResponses)
        throw boost::system::system_error(make_error_code(boost::system::errc::protocol_error));
}

Asio::awaitable<void> HttpStreamImpl::writeRequest(
    std::shared_ptr<HttpConnection> connection, std::shared_ptr<PendingWrite> pendingWrite)
{
    boost::system::error_code error;
    co_await Http::async_write(connection->socket(), pendingWrite->message,
        Asio::redirect_error(Asio::use_awaitable, error));
    pendingWrite->result = error;
    pendingWrite->ended.notifyAll();
    // The concurrent read reports the connection's error, or verifyConnectionEnd() does.
}

Asio::awaitable<void> HttpStreamImpl::readHeader()
{
    constexpr int statusesPerClass = 100;
    while (true) {
        while (!tryParseHeader())
            co_await receiveHeaderBytes();
        m_head.status = static_cast<int>(m_parser->get().result_int());
        if (m_head.status / statusesPerClass != 1)
            break;
        recordSkippedResponse();
    }
    // The parser accepts any three digits.
    if (!isFinalStatus(m_head.status))
        rejectHeader(Http::error::bad_status, "status " + std::to_string(m_head.status));
    m_framing = m_parser->chunked() ? BodyFraming::Chunks
        : m_parser->need_eof()      ? BodyFraming::ConnectionEnd
                                    : BodyFraming::Length;
    m_head.fields.clear();
    for (const auto& field : m_parser->get())
        m_head.fields.push_back({ std::string(field.name_string()), std::string(field.value()) });
}

bool HttpStreamImpl::tryParseHeader()
{
    // Parses from the first byte of the header, so that its lines can be checked once it is complete: the parser joins
    // folded lines.
    m_parser.emplace();
    m_parser->body_limit(boost::none);
    const Asio::const_buffer received = m_buffer.data();
    std::size_t size = 0;
    boost::system::error_code error;
    while (!error && !m_parser->is_header_done())
        size += m_parser->put(received + size, error);
    if (error == Http::error::need_more)
        return false;
    if (error)
        throw boost::system::system_error(error);
    if (const auto reason = findResponseHeadError({ static_cast<const char*>(received.data()), size }))
        rejectHeader(Http::error::bad_field, *reason);
    m_buffer.consume(size);
    return true;
}

Asio::awaitable<void> HttpStreamImpl::receiveHeaderBytes()
{
    // The parser limits headers to a part of the buffer, so that it has room.
    const std::size_t readBytes = boost::beast::read_size(m_buffer, maxBufferedBytes);
    boost::system::error_code error;
    const std::size_t count = co_await m_connection->async_read_some(
        m_buffer.prepare(readBytes), Asio::redirect_error(Asio::use_awaitable, error));
    m_buffer.commit(count);
    if (error == Asio::error::eof)
        error = m_buffer.size() == 0 ? Http::error::end_of_stream : Http::error::partial_message;
    if (error)
        throw boost::system::system_error(error);
}

void HttpStreamImpl::rejectHeader(Http::error error, std::string_view reason) const
{
    boost::system::error_code ignored;
    const auto server = m_connection->socket().remote_endpoint(ignored);
    writeLog(LogLevel::Info, "response_header_rejected",
        { { "address", toText(Endpoint { server.address().to_string(), server.port() }) }, { "reason", reason } });
    throw boost::system::system_error(Http::make_error_code(error));
}

void HttpStreamImpl::releaseUnused()
{
    m_releaseHandler(std::move(m_connection), Milliseconds::max());
}

Asio::awaitable<std::optional<std::string>> HttpStreamImpl::read()
{
    while (m_connection && !m_hasEnded) {
        if (m_parser->is_done()) {
            finish();
            break;
        }
        std::string data = co_await readSome();
        if (!data.empty())
            co_return data;
    }
    co_return std::nullopt;
}

Asio::awaitable<std::string> HttpStreamImpl::readSome()
{
    m_parser->get().body().data = m_bodyBuffer.data();
    m_parser->get().body().size = m_bodyBuffer.size();
    if (!m_hasTotalTimeout)
        m_connection->expires_after(m_timeout);
    boost::system::error_code error;
    co_await Http::async_read_some(*m_connection, m_buffer, *m_parser,
        Asio::redirect_error(Asio::use_awaitable, error));
    if (error && error != Http::error::need_buffer)
        throw boost::system::system_error(error);
    if (m_parser->is_done() && m_parser->need_eof())
        co_await verifyConnectionEnd();
    co_return std::string(m_bodyBuffer.data(), m_bodyBuffer.size() - m_parser->get().body().size);
}

Asio::awaitable<void> HttpStreamImpl::verifyConnectionEnd()
{
    // The kernel reports an error of a connection once. If the write of the request receives it, the read sees an
    // ordinary end.
    if (!m_pendingWrite->result && isClosedByServer(m_connection->socket()))
        co_return;
    while (!m_pendingWrite->result)
        co_await m_pendingWrite->ended.wait();
    const boost::system::error_code error = *m_pendingWrite->result;
    // A broken pipe shows that the server closed the connection in order before it reset it: it does not read the rest
    // of the request.
    if (error && error != Asio::error::broken_pipe)
        throw boost::system::system_error(error);
}

void HttpStreamImpl::finish()
{
    const bool isRequestWritten = m_pendingWrite->result && !*m_pendingWrite->result;
    // Data that belongs to no call, before or after the response, may be followed by more.
    const bool isReusable = m_parser->keep_alive() && m_buffer.size() == 0 && isRequestWritten
        && !m_hasSkippedForeign;
    if (!isReusable)
        m_connection.reset();
    m_hasEnded = true;
    if (!m_isHeld)
        releaseConnection();
}

void HttpStreamImpl::releaseConnection()
{
    m_isHeld = false;
    if (m_hasEnded && m_connection)
        m_releaseHandler(std::exchange(m_connection, nullptr), parseKeepAliveTimeout(m_head));
}

}
