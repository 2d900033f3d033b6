#pragma once

#include "emulator/platform/objectstore.h"
#include "emulator/platform/platformfaults.h"
#include "emulator/platform/ratelimit.h"
#include "libnet/httpserver.h"

#include <boost/asio/basic_waitable_timer.hpp>

#include <map>
#include <random>

namespace Apricot {

struct PlatformServerOptions {
    std::uint16_t port = 0;
    // Zero means no limit.
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

// Serves the platform's object API over HTTP. POST /faults sets the faults to inject, and GET /counts
// returns the number of calls by kind. A value {"raw_hex":"..."} is returned as the bytes that it encodes, which need
// not be JSON.
class PlatformServer {
public:
    PlatformServer(boost::asio::io_context& context, PlatformServerOptions options);

    std::uint16_t port() const { return m_server.port(); }

private:
    using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

    boost::asio::awaitable<void> handle(HttpExchange& exchange);
    boost::asio::awaitable<void> handleFaults(HttpExchange& exchange);
    boost::asio::awaitable<void> handleCounts(HttpExchange& exchange);
    boost::asio::awaitable<void> handleObjects(HttpExchange& exchange);
    boost::asio::awaitable<void> handleGet(HttpExchange& exchange, const std::string& key);
    boost::asio::awaitable<void> handleList(HttpExchange& exchange, std::string prefix);
    boost::asio::awaitable<void> handleWatch(HttpExchange& exchange, std::string prefix);
    boost::asio::awaitable<void> handleWrite(HttpExchange& exchange, const std::string& key);
    // Holds a call without a response until its caller disconnects.
    boost::asio::awaitable<void> holdUntilDisconnected(HttpExchange& exchange);
    boost::asio::awaitable<void> pause(Duration duration);

    bool isCutOff(const HttpRequest& request) const;
    // Zero in responses that do not name the era.
    std::uint64_t shownEra() const;
    bool shouldLoseResponse();
    // Revision that reads are served from: the newest, or an older one while stale reads are on.
    ObjectVersion readRevision(ObjectVersion atLeast = 0);
    // Adds some events up to the given revision and shuffles all of them.
    void reorderEvents(std::string_view prefix, ObjectVersion since, StoreEvents& events);
    void notifyWatches();

    boost::asio::io_context& m_context;
    ObjectStore m_store;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::map<std::string, std::uint64_t> m_counts;
    // Never expires. Cancelled to wake all watches when the store or the faults change, and at the
    // deadline of each watch.
    Timer m_changeTimer;
    HttpServer m_server;
};

}
