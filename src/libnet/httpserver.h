#pragma once

#include "libapricot/httplimits.h"
#include "libapricot/memoryaccount.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// A header field of a request or a response.
struct HttpField {
    std::string name;
    std::string value;

    template <typename Archive>
    void serialize(Archive& archive) { archive(name, value); }
};

// A request with its complete body, as handlers receive it.
struct HttpRequest {
    std::string method;
    // Path without the query, such as /objects/catalogue/sheets.
    std::string path;
    // Path and query as they were sent.
    std::string target;
    // Text after the question mark, still percent-encoded; empty when there is none.
    std::string query;
    std::vector<HttpField> fields;
    std::string body;

    // Value of a header field, or an empty string. Names are case-insensitive.
    std::string_view field(std::string_view name) const;
    // Decoded value of a query parameter, or an empty string.
    std::string parameter(std::string_view name) const;
};

// Decodes percent-encoded characters, and plus signs to spaces.
std::string decodePercent(std::string_view text);

// One request and its response. A handler either calls respond() once, or beginStream(),
// writeChunk() any number of times and endStream(). Each throws boost::system::system_error if the
// peer has disconnected.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    // If the content type is empty, `fields` may contain that field.
    virtual boost::asio::awaitable<void> respond(
        int status, std::string contentType, std::string body, std::vector<HttpField> fields = {})
        = 0;
    virtual boost::asio::awaitable<void> beginStream(
        int status, std::string contentType, std::vector<HttpField> fields = {})
        = 0;
    virtual boost::asio::awaitable<void> writeChunk(std::string_view data) = 0;
    virtual boost::asio::awaitable<void> endStream() = 0;
    // Whether respond() or beginStream() has been called.
    virtual bool isResponseStarted() const = 0;
    // Whether the peer has closed its connection. Detected while the handler is suspended.
    virtual bool isPeerDisconnected() const = 0;
    // The handler is called once, on the server's thread, if the peer closes its connection before
    // the response ends.
    virtual void setPeerDisconnectedHandler(std::function<void()> handler) = 0;
    // Closes the connection at once without finishing the response.
    virtual void abort() = 0;
    // Sets what is told of each part of a response that the peer has accepted, and when.
    virtual void setProgressHandler(std::function<void(TimePoint)> handler) = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange&)>;

struct HttpServerOptions {
    std::string address = "127.0.0.1";
    // Zero lets the kernel choose.
    std::uint16_t port = 0;
    std::size_t bodyLimitBytes = 1'048'576;
    // Returns the current limits; called before each request. Replaces bodyLimitBytes if set.
    std::function<HttpLimits()> limits;
    // Account of the bytes that connections hold, if they share one; it must outlive the io_context's run().
    MemoryAccount* memory = nullptr;
    // Most connections at a time; zero for no limit.
    std::size_t maxConnections = 0;
    // Called with the name of the limit when one ends or refuses a connection or a request.
    std::function<void(std::string_view)> onLimitMet;
};

// Connections that a server ended or refused because they exceeded what it may hold.
struct HttpServerCounts {
    std::size_t connections = 0;
    std::uint64_t idleClosed = 0;
    std::uint64_t slowClosed = 0;
    std::uint64_t refused = 0;
    // Requests that were refused because there was no memory for them.
    std::uint64_t withoutMemory = 0;
    // Requests whose connection was closed because others needed their memory.
    std::uint64_t evicted = 0;
    // Requests with more bytes than a limit allows, and those that made no progress.
    std::uint64_t tooLarge = 0;
    std::uint64_t tooSlow = 0;

    auto operator<=>(const HttpServerCounts&) const = default;
};

// HTTP/1.1 server on one io_context, built on Boost.Beast. Must outlive the io_context's run().
class HttpServer {
public:
    HttpServer(boost::asio::io_context& context, HttpServerOptions options, HttpHandler handler);
    ~HttpServer();

    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;
    // Closes each connection after its next response, which announces this to the client.
    void closeAfterResponses();
    // Number of requests whose handler has not returned; once the server stops after pending requests, of all
    // connections that are still open. May be called on any thread.
    std::size_t exchangesInFlight() const;
    HttpServerCounts counts() const;
    void setMaxConnections(std::size_t connections);
    // Stops listening and closes idle connections; exchanges in flight continue.
    void stopAccepting();
    // Accepts the connections that wait for it and then stops listening. Requests of which a byte has arrived are served,
    // and so are first requests that arrive soon; idle connections are closed.
    void stopAfterPendingRequests();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
