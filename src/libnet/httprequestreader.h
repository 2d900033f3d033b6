#pragma once

#include "libapricot/httplimits.h"
#include "libapricot/memoryaccount.h"
#include "libnet/httpserver.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>

namespace Apricot {

// How reading a request ended.
enum class RequestReadEnd {
    Complete,
    Disconnected,
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    // The client did not send the header in time, or made too little progress with the body.
    TooSlow,
    // The process has no memory for more bytes of the request.
    NoMemory,
};

struct ReadRequest {
    RequestReadEnd end = RequestReadEnd::Disconnected;
    // The request, if it is complete.
    HttpRequest request {};
    bool keepAlive = false;
    bool acceptsChunks = false;
};

// Reads one request from a connection, within limits that may change while it does. At most one header of the largest
// size is buffered unparsed, whatever the framing of the body is.
class HttpRequestReader {
public:
    // The buffer holds what was read beyond the previous request. The holder may be null.
    HttpRequestReader(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer,
        std::function<HttpLimits()> limits, MemoryAccount::Holder* holder);

    boost::asio::awaitable<ReadRequest> read();

private:
    class Body;

    boost::asio::awaitable<RequestReadEnd> readHeader();
    boost::asio::awaitable<RequestReadEnd> readBody(Body& body);
    // Reads more bytes into the buffer, for a time at most. Holds the bytes of the body besides.
    boost::asio::awaitable<RequestReadEnd> readSome(std::size_t bodyBytes, Milliseconds timeout);
    // Largest number of bytes that are buffered unparsed.
    std::size_t bufferLimit() const;

    boost::asio::ip::tcp::socket& m_socket;
    boost::beast::flat_buffer& m_buffer;
    std::function<HttpLimits()> m_limits;
    MemoryAccount::Holder* m_holder;
};

}
