#include "libnet/httprequestreader.h"

#include "libnet/httpexchangeimpl.h"
#include "libnet/messagehead.h"
#include "libnet/watchdog.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <optional>

namespace Apricot {

namespace Asio = boost::asio;
namespace Http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

    constexpr std::string_view headerEnd = "\r\n\r\n";
    constexpr std::size_t headerReadBytes = 4096;
    constexpr std::size_t bodyReadBytes = 16'384;
    // Applies where the configuration sets no timeout, so that no connection holds its bytes for good.
    constexpr Milliseconds defaultTimeout { 30'000 };
    // Average rate below which a body makes too little progress once the timeout has passed: far less than what a thin
    // link transfers.
    constexpr double minBytesPerMillisecond = 1;

    Milliseconds timeoutOr(Milliseconds timeout) { return timeout.count() > 0 ? timeout : defaultTimeout; }

}

// The body of a request as far as it was parsed.
class HttpRequestReader::Body {
public:
    Body(const HttpLimits& limits)
    {
        m_parser.eager(true);
        m_parser.body_limit(limits.bodyBytes);
        m_parser.header_limit(static_cast<std::uint32_t>(limits.headerBytes + headerEnd.size()));
    }

    // Parses what is buffered. Returns Complete, also if more bytes are needed, or why the request is rejected.
    RequestReadEnd parse(boost::beast::flat_buffer& buffer, const HttpLimits& limits)
    {
        m_parser.body_limit(limits.bodyBytes);
        while (buffer.size() > 0 && !m_parser.is_done()) {
            boost::system::error_code error;
            const std::size_t used = m_parser.put(buffer.data(), error);
            buffer.consume(used);
            if (error == Http::error::need_more)
                break;
            if (error == Http::error::body_limit)
                return RequestReadEnd::BodyTooLarge;
            if (error == Http::error::header_limit)
                return RequestReadEnd::HeaderTooLarge;
            if (error)
                return RequestReadEnd::Malformed;
        }
        // The parser checks a limit as it reads a length, so one that was lowered since is checked here.
        const bool isTooLarge = m_parser.get().body().size() > limits.bodyBytes
            || m_parser.content_length().value_or(0) > limits.bodyBytes;
        return isTooLarge ? RequestReadEnd::BodyTooLarge : RequestReadEnd::Complete;
    }

    bool isDone() const { return m_parser.is_done(); }
    // Memory of the body. Space for a body of a stated length is allocated at once but used only as bytes arrive.
    std::size_t bytes() const
    {
        const std::string& body = m_parser.get().body();
        return m_parser.content_length() ? body.size() : body.capacity();
    }
    Http::request<Http::string_body> release() { return m_parser.release(); }

private:
    Http::request_parser<Http::string_body> m_parser;
};

HttpRequestReader::HttpRequestReader(Tcp::socket& socket, boost::beast::flat_buffer& buffer,
    std::function<HttpLimits()> limits, MemoryAccount::Holder* holder)
    : m_socket(socket)
    , m_buffer(buffer)
    , m_limits(std::move(limits))
    , m_holder(holder)
{
}

std::size_t HttpRequestReader::bufferLimit() const
{
    return std::max(m_limits().headerBytes, headerReadBytes) + headerEnd.size();
}

Asio::awaitable<ReadRequest> HttpRequestReader::read()
{
    ReadRequest result;
    result.end = co_await readHeader();
    if (result.end != RequestReadEnd::Complete)
        co_return result;
    Body body(m_limits());
    result.end = co_await readBody(body);
    if (result.end != RequestReadEnd::Complete)
        co_return result;
    constexpr unsigned httpVersion11 = 11;
    Http::request<Http::string_body> message = body.release();
    result.keepAlive = message.keep_alive();
    result.acceptsChunks = message.version() >= httpVersion11;
    result.request = toRequest(std::move(message));
    co_return result;
}

Asio::awaitable<RequestReadEnd> HttpRequestReader::readHeader()
{
    const TimePoint startedAt = RuntimeClock::now();
    while (true) {
        const HttpLimits limits = m_limits();
        const std::string_view received(static_cast<const char*>(m_buffer.data().data()), m_buffer.size());
        const std::size_t end = received.find(headerEnd);
        if (end != std::string_view::npos && end <= limits.headerBytes)
            co_return findRequestHeadError(received.substr(0, end + headerEnd.size())) ? RequestReadEnd::Malformed
                                                                                       : RequestReadEnd::Complete;
        if (received.size() > limits.headerBytes)
            co_return RequestReadEnd::HeaderTooLarge;
        const auto left = std::chrono::ceil<Milliseconds>(
            startedAt + timeoutOr(limits.headerTimeout) - RuntimeClock::now());
        if (left.count() <= 0)
            co_return RequestReadEnd::TooSlow;
        if (const RequestReadEnd read = co_await readSome(0, left); read != RequestReadEnd::Complete)
            co_return read;
    }
}

Asio::awaitable<RequestReadEnd> HttpRequestReader::readBody(Body& body)
{
    const TimePoint startedAt = RuntimeClock::now();
    std::size_t receivedBytes = 0;
    while (true) {
        const RequestReadEnd parsed = body.parse(m_buffer, m_limits());
        if (parsed != RequestReadEnd::Complete || body.isDone())
            co_return parsed;
        // A line of the framing, or the trailers, that exceed the largest header.
        if (m_buffer.size() >= bufferLimit())
            co_return RequestReadEnd::HeaderTooLarge;
        const Milliseconds timeout = timeoutOr(m_limits().idleTimeout);
        const double elapsed = inMilliseconds(RuntimeClock::now() - startedAt);
        if (elapsed > inMilliseconds(timeout) && static_cast<double>(receivedBytes) < minBytesPerMillisecond * elapsed)
            co_return RequestReadEnd::TooSlow;
        const std::size_t before = m_buffer.size();
        if (const RequestReadEnd read = co_await readSome(body.bytes(), timeout); read != RequestReadEnd::Complete)
            co_return read;
        receivedBytes += m_buffer.size() - before;
    }
}

Asio::awaitable<RequestReadEnd> HttpRequestReader::readSome(std::size_t bodyBytes, Milliseconds timeout)
{
    const std::size_t free = bufferLimit() + 1 - std::min(m_buffer.size(), bufferLimit());
    const std::size_t wanted = std::min(bodyBytes > 0 ? bodyReadBytes : headerReadBytes, free);
    const std::size_t bytes = std::max(m_buffer.capacity(), m_buffer.size() + wanted) + bodyBytes;
    if (m_holder && !m_holder->tryResize(bytes, RuntimeClock::now()))
        co_return m_holder->isEvicted() ? RequestReadEnd::Disconnected : RequestReadEnd::NoMemory;
    const Watchdog watchdog(m_socket.get_executor(), timeout, [this] {
        boost::system::error_code ignored;
        m_socket.cancel(ignored); // NOLINT(bugprone-unused-return-value)
    });
    boost::system::error_code error;
    const std::size_t count = co_await m_socket.async_read_some(
        m_buffer.prepare(wanted), Asio::redirect_error(Asio::use_awaitable, error));
    if (error)
        co_return watchdog.hasExpired() ? RequestReadEnd::TooSlow : RequestReadEnd::Disconnected;
    m_buffer.commit(count);
    if (m_holder)
        m_holder->onProgress(RuntimeClock::now());
    co_return RequestReadEnd::Complete;
}

}
