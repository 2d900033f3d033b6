#pragma once

#include "libapricot/bytebudget.h"
#include "libapricot/clock.h"
#include "libapricot/endpoint.h"
#include "libapricot/memoryaccount.h"
#include "libnet/httpserver.h"
#include "libserving/bodyframing.h"

#include <optional>

namespace Apricot {

// Cancels a call from outside, also while it connects or waits: its connection closes, and the call
// throws.
class HttpCancel {
public:
    void cancel();
    bool isCancelled() const { return m_cancelled; }
    // Sets the action that closes the connection of the current step.
    void setAction(std::function<void()> action);

private:
    std::function<void()> m_action;
    bool m_cancelled = false;
};

// Status and header fields of a response.
struct HttpResponseHead {
    int status = 0;
    std::vector<HttpField> fields;

    std::string_view field(std::string_view name) const;
};

// Which call on a connection a response belongs to, as far as its header shows.
enum class ResponseOwner {
    ThisCall,
    OtherCall,
    // On a connection that has carried other calls, it may be a response to one of these.
    Unidentified,
};

// One call to an HTTP/1.1 server.
// Store it in a variable before passing it in a co_await expression: g++ 12 destroys a braced
// temporary there twice.
struct HttpCall {
    std::string method = "GET";
    // Path with query.
    std::string target = "/";
    // A Host field replaces the default, which is the server's address.
    std::vector<HttpField> fields;
    std::string body;
    // Timeout for the response header, whatever precedes it, and for each later read.
    Milliseconds timeout { 5000 };
    std::shared_ptr<HttpCancel> cancel;
    // Whether the call must not use a connection that has carried others, which may have become unresponsive.
    bool usesNewConnection = false;
    // Which call a response belongs to. One to another call is read and discarded, and this call waits for the next one
    // on the connection, which carries no later calls. If unset, every response is accepted.
    std::function<ResponseOwner(const HttpResponseHead&)> ownerOf;
};

struct HttpResponse : HttpResponseHead {
    std::string body;
};

// A response that is read as it arrives. Destroying it before the end closes the connection, by which
// the server detects the cancellation.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    virtual const HttpResponseHead& head() const = 0;
    int status() const { return head().status; }
    std::string_view field(std::string_view name) const { return head().field(name); }
    virtual BodyFraming framing() const = 0;
    // Sets the timeout of each later read.
    virtual void setTimeout(Milliseconds timeout) = 0;
    // Sets the time after which later reads end, all of them together.
    virtual void setTotalTimeout(Milliseconds timeout) = 0;
    // Returns the next part of the body, or nothing at its regular end. Throws
    // boost::system::system_error if the connection breaks before the end.
    virtual boost::asio::awaitable<std::optional<std::string>> read() = 0;
    // Keeps the connection from later calls, also after the regular end of the response, until releaseConnection() is
    // called: what follows on the connection can be attributed only if this response is the call's own.
    virtual void holdConnection() = 0;
    virtual void releaseConnection() = 0;
};

// A response body that was read to its end, and its part of the memory for all of them.
struct ResponseBody {
    std::string bytes;
    ByteLease lease;
    // Set instead of the lease for a response that goes to a caller.
    std::unique_ptr<MemoryAccount::Holder> holder = nullptr;
};

// Reads a response body to its end. Throws boost::system::system_error if the connection breaks before the end, or if
// the body, or all bodies of this process together, are larger than they may be: a faulty server may send bytes
// without end. The memory comes from the holder's account if there is one.
boost::asio::awaitable<ResponseBody> readBody(
    HttpStream& stream, std::unique_ptr<MemoryAccount::Holder> holder = nullptr);

// The same with the header, for which the server has a few times the timeout of a read.
boost::asio::awaitable<HttpResponse> readResponse(HttpStream& stream, Milliseconds timeout);

// Connects to an address and closes the connection again. Returns the error of the attempt, if any.
boost::asio::awaitable<boost::system::error_code> tryConnect(
    boost::asio::io_context& context, Endpoint endpoint, Milliseconds timeout);

// Returns the address at which this host reaches a server that is known by another one.
using AddressTranslation = std::function<Endpoint(const Endpoint&)>;

struct HttpClientOptions {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // Maximum number of idle connections kept for reuse.
    std::size_t idleConnections = 16;
    Milliseconds connectTimeout { 1000 };
    // Longest idle time of a kept connection. A shorter keep-alive timeout of the server takes
    // precedence.
    Milliseconds idleTimeout { 60'000 };
    // Whether TCP keepalive probes detect an unresponsive peer while a call waits for its response.
    bool usesKeepaliveProbes = false;
    // Applied to the address whenever a connection is opened, if set.
    AddressTranslation translation = {};
};

// Last check before the bytes of a call are sent: returning false cancels the call.
using HttpSendGate = std::function<bool()>;

// Client of one server with a connection pool. Never retries a call by itself.
class HttpClient {
public:
    HttpClient(boost::asio::io_context& context, HttpClientOptions options);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends a call and reads the complete response, for which it has a few times the timeout of the call.
    boost::asio::awaitable<HttpResponse> send(HttpCall call);
    // Sends a call and returns once the response header has arrived. The gate is called on an
    // established connection just before the first byte is written; if it returns false, nothing is
    // sent and nullptr is returned. Errors before the gate was called mean that nothing was sent.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> open(HttpCall call, HttpSendGate gate = {});
    // The same; the call is unchanged unless the gate was called and returned true.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> open(
        std::shared_ptr<HttpCall> call, HttpSendGate gate);
    void closeIdleConnections();

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

}
