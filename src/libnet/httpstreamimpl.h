#pragma once

#include "libnet/asyncevent.h"
#include "libnet/httpclient.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace Apricot {

using HttpConnection = boost::beast::tcp_stream;

// A request and its response over one connection of HttpClient's pool.
class HttpStreamImpl : public HttpStream {
public:
    // Receives a connection that can be reused, with the idle time that the server allows.
    using ReleaseHandler = std::function<void(std::shared_ptr<HttpConnection>, Milliseconds)>;

    // `isReused` tells whether the connection has carried other calls.
    HttpStreamImpl(std::shared_ptr<HttpConnection> connection, bool isReused, Milliseconds timeout,
        ReleaseHandler releaseHandler);

    ~HttpStreamImpl() override;

    HttpStreamImpl(const HttpStreamImpl&) = delete;
    HttpStreamImpl& operator=(const HttpStreamImpl&) = delete;

    // Sends a request and reads the header of its response.
    boost::asio::awaitable<void> exchange(
        boost::beast::http::request<boost::beast::http::string_body> message,
        std::function<ResponseOwner(const HttpResponseHead&)> ownerOf);
    // Returns the connection to the pool before anything was sent on it.
    void releaseUnused();

    const HttpResponseHead& head() const override { return m_head; }
    BodyFraming framing() const override { return m_framing; }
    void setTimeout(Milliseconds timeout) override { m_timeout = timeout; }
    void setTotalTimeout(Milliseconds timeout) override;
    boost::asio::awaitable<std::optional<std::string>> read() override;
    void holdConnection() override { m_isHeld = true; }
    void releaseConnection() override;

private:
    static constexpr std::size_t maxBufferedBytes = 65'536;
    using Parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;
    // Request that is being written; outlives this object if the stream is destroyed early.
    struct PendingWrite {
        boost::beast::http::request<boost::beast::http::string_body> message;
        AsyncEvent ended;
        // Not set while the write is in progress.
        std::optional<boost::system::error_code> result {};
    };

    static boost::asio::awaitable<void> writeRequest(
        std::shared_ptr<HttpConnection> connection, std::shared_ptr<PendingWrite> pendingWrite);
    boost::asio::awaitable<void> readHeader();
    // Parses a header if the whole of it was received. Throws if it is malformed.
    bool tryParseHeader();
    boost::asio::awaitable<void> receiveHeaderBytes();
    // Logs why a header that the parser accepts is not acceptable, and throws the error.
    [[noreturn]] void rejectHeader(boost::beast::http::error error, std::string_view reason) const;
    boost::asio::awaitable<std::string> readSome();
    // Throws if the end of the connection, which ends the response, is that of a reset or lost connection.
    boost::asio::awaitable<void> verifyConnectionEnd();
    // Whether the response belongs to another call. Throws if the connection does not show which call it belongs to.
    bool isForeign(const std::function<ResponseOwner(const HttpResponseHead&)>& ownerOf) const;
    // Counts an informational response or one to another call. Throws if there are too many.
    void recordSkippedResponse();
    void finish();

    std::shared_ptr<HttpConnection> m_connection;
    bool m_isReused;
    Milliseconds m_timeout;
    // Whether the time until the current expiry is for all later reads.
    bool m_hasTotalTimeout = false;
    ReleaseHandler m_releaseHandler;
    std::shared_ptr<PendingWrite> m_pendingWrite;
    // Bounds headers, extensions of chunks, and trailers, which are parsed as a whole.
    boost::beast::flat_buffer m_buffer { maxBufferedBytes };
    std::optional<Parser> m_parser;
    HttpResponseHead m_head;
    int m_skippedResponses = 0;
    bool m_hasSkippedForeign = false;
    bool m_isHeld = false;
    // Whether the response was read to its regular end.
    bool m_hasEnded = false;
    BodyFraming m_framing = BodyFraming::ConnectionEnd;
    std::array<char, 16384> m_bodyBuffer {};
};

}
