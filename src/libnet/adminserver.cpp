#include "libnet/adminserver.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace {

    constexpr const char* jsonType = "application/json";
    constexpr const char* metricsType = "text/plain; version=0.0.4";
    constexpr std::size_t adminBodyLimitBytes = 1024;
    // Each may hold a response of the size of all metrics until its client has read it.
    constexpr std::size_t maxAdminConnections = 32;

}

AdminServer::AdminServer(
    boost::asio::io_context& context, MetricRegistry& metrics, AdminServerOptions options)
    : m_metrics(metrics)
    , m_options(std::move(options))
    , m_server(context,
          { .address = m_options.address,
              .port = m_options.port,
              .bodyLimitBytes = adminBodyLimitBytes,
              .maxConnections = maxAdminConnections },
          [this](HttpExchange& exchange) { return handleRequest(exchange); })
{
}

boost::asio::awaitable<void> AdminServer::handleRequest(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    if (request.method != "GET")
        return exchange.respond(405, jsonType, R"({"error":"method not supported, expected GET"})");
    if (request.path == "/metrics")
        return respondWithMetrics(exchange);
    if (request.path == "/state")
        return respondWithState(exchange);
    if (request.path == "/health")
        return respondWithHealth(exchange);
    return exchange.respond(
        404, jsonType, R"({"error":"unknown path, expected /metrics, /state or /health"})");
}

boost::asio::awaitable<void> AdminServer::respondWithMetrics(HttpExchange& exchange)
{
    if (m_options.refreshMetrics)
        m_options.refreshMetrics();
    return exchange.respond(200, metricsType, m_metrics.text());
}

boost::asio::awaitable<void> AdminServer::respondWithState(HttpExchange& exchange)
{
    const boost::json::value state
        = m_options.state ? m_options.state() : boost::json::value(boost::json::object());
    return exchange.respond(200, jsonType, boost::json::serialize(state));
}

boost::asio::awaitable<void> AdminServer::respondWithHealth(HttpExchange& exchange)
{
    const HealthReport report = m_options.health ? m_options.health() : HealthReport {};
    const boost::json::object body { { "healthy", report.healthy }, { "detail", report.detail } };
    return exchange.respond(report.healthy ? 200 : 503, jsonType, boost::json::serialize(body));
}

}
