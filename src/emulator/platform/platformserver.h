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
    // Zero means no bound.
    double writesPerSecond = 0;
    double readsPerSecond = 0;
};

// The platform's object API over HTTP, with faults that tests switch on by POST /faults and counts
// of the calls at GET /counts.
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
    // Holds a call without an answer until its caller leaves.
    boost::asio::awaitable<void> holdUntilDisconnected(HttpExchange& exchange);
    boost::asio::awaitable<void> pause(Duration duration);

    bool isCutOff(const HttpRequest& request) const;
    bool shouldLoseResponse();
    // Revision that reads are served from: the newest, or one some way back.
    ObjectVersion readRevision(ObjectVersion atLeast = 0);
    void reorderEvents(std::string_view prefix, ObjectVersion since, StoreEvents& events);
    void notifyWatches();

    boost::asio::io_context& m_context;
    ObjectStore m_store;
    PlatformFaults m_faults;
    std::mt19937_64 m_random;
    RateLimit m_writeLimit;
    RateLimit m_readLimit;
    std::map<std::string, std::uint64_t> m_counts;
    // Never expires by itself; cancelled whenever the store or the faults change.
    Timer m_changeTimer;
    HttpServer m_server;
};

}
