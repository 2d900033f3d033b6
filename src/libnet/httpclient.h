#pragma once

#include "libapricot/clock.h"
#include "libnet/httpserver.h"

#include <optional>

namespace Apricot {

// Ends a call from outside, also while it connects or waits: its connection closes, and the call
// throws.
class HttpCancel {
public:
    void cancel();
    bool isCancelled() const { return m_cancelled; }
    // Sets what closes the connection of the running step.
    void setAction(std::function<void()> action);

private:
    std::function<void()> m_action;
    bool m_cancelled = false;
};

// The header of an answer.
struct HttpResponseHead {
    int status = 0;
    std::vector<HttpField> fields;

    std::string_view field(std::string_view name) const;
};

// One call of an HTTP/1.1 server.
// Name an aggregate before it is passed in a co_await expression: g++ 12 destroys a braced temporary
// there twice.
struct HttpCall {
    std::string method = "GET";
    // Path with query.
    std::string target = "/";
    // A field Host replaces the server's address there.
    std::vector<HttpField> fields;
    std::string body;
    // Longest wait for the answer's header, and for each read after it.
    Milliseconds timeout { 5000 };
    std::shared_ptr<HttpCancel> cancel;
    // Whether an answer belongs to this call; one that does not is read and dropped, and the next one
    // on the connection is awaited. Unset means that every answer does.
    std::function<bool(const HttpResponseHead&)> isOwnResponse;
};

struct HttpResponse : HttpResponseHead {
    std::string body;
};

// An answer that is read as it arrives. Destroying it before the end closes the connection, which
// tells the server to cancel.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    virtual const HttpResponseHead& head() const = 0;
    int status() const { return head().status; }
    std::string_view field(std::string_view name) const { return head().field(name); }
    // Changes the longest wait for each later read.
    virtual void setTimeout(Milliseconds timeout) = 0;
    // Next piece of the body, or nothing at a clean end. Throws boost::system::system_error when the
    // connection breaks before the end.
    virtual boost::asio::awaitable<std::optional<std::string>> read() = 0;
};

// Reads an answer's body to its end. Throws boost::system::system_error when the connection breaks
// before it.
boost::asio::awaitable<std::string> readBody(HttpStream& stream);

struct HttpClientOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // Idle connections kept for reuse.
    std::size_t idleConnections = 16;
    Milliseconds connectTimeout { 1000 };
    // Longest idle time of a kept connection; a shorter one that the server states goes before it.
    Milliseconds idleTimeout { 60'000 };
    // Whether probes find a peer that went silent while a call waits for its answer.
    bool usesKeepaliveProbes = false;
};

// Outcome of the last step before the bytes of a call leave: a call may be withdrawn here.
using HttpSendGate = std::function<bool()>;

// A client of one server with a pool of connections. Never repeats a call by itself.
class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, HttpClientOptions options);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends a call and reads the whole answer.
    boost::asio::awaitable<HttpResponse> send(HttpCall call);
    // Sends a call and returns once the answer's header is there. The gate runs on an established
    // connection just before the first byte is written; when it returns false nothing is sent and
    // nullptr is returned. Errors before the gate ran mean that nothing was sent.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> open(HttpCall call, HttpSendGate gate = {});
    // Closes the idle connections.
    void closeIdleConnections();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
