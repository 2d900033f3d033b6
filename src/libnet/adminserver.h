#pragma once

#include "libapricot/metrics.h"
#include "libnet/httpserver.h"

#include <boost/json/value.hpp>

#include <functional>
#include <string>

namespace Apricot {

// Whether the process can accept new work, and the reason if it can't.
struct HealthReport {
    bool healthy = true;
    std::string detail;

    auto operator<=>(const HealthReport&) const = default;
};

struct AdminServerOptions {
    std::string address = "127.0.0.1";
    // Zero lets the kernel choose.
    std::uint16_t port = 0;
    // Called on the io_context's thread for each request.
    std::function<boost::json::value()> state;
    std::function<HealthReport()> health;
    // Called before the metrics are written, to set gauges that are computed on demand.
    std::function<void()> refreshMetrics;
};

// Serves /metrics (Prometheus text), /state (the state dump as JSON) and /health (200 or 503) over
// HTTP, for operators, monitoring systems and load balancers.
class AdminServer {
public:
    AdminServer(
        boost::asio::io_context& context, MetricRegistry& metrics, AdminServerOptions options);

    std::uint16_t port() const { return m_server.port(); }
    void stopAccepting() { m_server.stopAccepting(); }

private:
    boost::asio::awaitable<void> handleRequest(HttpExchange& exchange);
    boost::asio::awaitable<void> respondWithMetrics(HttpExchange& exchange);
    boost::asio::awaitable<void> respondWithState(HttpExchange& exchange);
    boost::asio::awaitable<void> respondWithHealth(HttpExchange& exchange);

    MetricRegistry& m_metrics;
    AdminServerOptions m_options;
    HttpServer m_server;
};

}
