#include "gateway/gatewaymetrics.h"

namespace Apricot {

GatewayMetrics::GatewayMetrics(MetricRegistry& registry)
    : m_registry(registry)
    , m_sends(registry.counter(
          "apricot_sends_total", "Sends of requests that may have reached a backend server."))
    , m_configVersion(registry.gauge(
          "apricot_config_version", "Version of the configuration in force; 0 before the first."))
    , m_servers(registry.gauge("apricot_backend_servers", "Backend servers that are known."))
    , m_hosts(registry.gauge("apricot_hosts", "Hosts of the system that the store lists."))
    , m_waitingPieces(registry.gauge(
          "apricot_waiting_pieces", "Pieces that wait at the groups whose home this host is."))
    , m_storeLost(
          registry.gauge("apricot_store_lost", "1 while the store does not answer this host."))
    , m_suspectRequests(registry.gauge("apricot_suspect_requests",
          "Requests during which servers ended, fewer than it takes to refuse them."))
    , m_poisonedRequests(registry.gauge("apricot_poisoned_requests",
          "Requests that are refused because they crash the servers that run them."))
    , m_suspectParts(registry.gauge("apricot_suspect_parts",
          "Parts of prompts during which servers ended, fewer than it takes to refuse them."))
    , m_poisonedParts(registry.gauge("apricot_poisoned_parts",
          "Parts of prompts whose requests are refused because they crash the servers that run them."))
    , m_limitedServers(registry.gauge("apricot_limited_servers", "Backend servers that named a limit."))
    , m_lostLinks(registry.gauge(
          "apricot_lost_links", "Backend servers to which this host has lost its link."))
    , m_brittleServers(registry.gauge("apricot_brittle_servers",
          "Backend servers that end if they turn away too many requests."))
    , m_restingServers(registry.gauge("apricot_resting_servers",
          "Backend servers that asked this host for rest that has not ended."))
{
}

void GatewayMetrics::onRequestEnded(std::string_view kind, const ServedOutcome& outcome, Duration duration)
{
    const std::string outcomeLabel
        = outcome.refusal.empty() ? std::to_string(outcome.status) : std::string(outcome.refusal);
    m_registry
        .counter("apricot_requests_total", "Requests by kind and how they ended.",
            { { "kind", std::string(kind) }, { "outcome", outcomeLabel } })
        .add();
    m_registry
        .histogram("apricot_request_seconds", "Time from reading a request to its end.",
            { { "kind", std::string(kind) } })
        .observe(duration);
    m_sends.add(static_cast<std::uint64_t>(outcome.sends));
}

void GatewayMetrics::setGauges(
    const ServingView& view, const StageHome& home, RetryWindow& retries,
    const PoisonTable& poison, bool isStoreLost)
{
    const TimePoint now = RuntimeClock::now();
    for (const PoolId& pool : retries.pools()) {
        const RetryUsage usage = retries.usage(pool, now);
        const MetricLabels labels { { "pool", pool.value() } };
        m_registry
            .gauge("apricot_retries_in_window", "Retries of a pool in the current window.", labels)
            .set(static_cast<double>(usage.retries));
        m_registry
            .gauge("apricot_retries_allowed",
                "Retries of a pool that this host may send in the current window.", labels)
            .set(usage.allowed);
    }
    const auto config = view.config();
    m_configVersion.set(config ? static_cast<double>(config->version) : 0);
    if (const std::optional<TimePoint> confirmedAt = view.configConfirmedAt()) {
        m_registry
            .gauge("apricot_config_age_seconds", "Time since the configuration is known to have been the newest one.")
            .set(std::chrono::duration<double>(now - *confirmedAt).count());
    }
    m_servers.set(static_cast<double>(view.servers().size()));
    m_hosts.set(static_cast<double>(view.hosts().size()));
    m_waitingPieces.set(static_cast<double>(home.waitingPieces()));
    m_storeLost.set(isStoreLost ? 1 : 0);
    m_suspectRequests.set(static_cast<double>(poison.count(PoisonState::Suspect, false, now)));
    m_poisonedRequests.set(static_cast<double>(poison.count(PoisonState::Refused, false, now)));
    m_suspectParts.set(static_cast<double>(poison.count(PoisonState::Suspect, true, now)));
    m_poisonedParts.set(static_cast<double>(poison.count(PoisonState::Refused, true, now)));
}

void GatewayMetrics::setClients(const MemoryAccount& memory, const HttpServerCounts& counts)
{
    for (const MemoryCause cause : { MemoryCause::Request, MemoryCause::Response }) {
        const MetricLabels labels { { "cause", std::string(memoryCauseName(cause)) } };
        m_registry.gauge("apricot_client_memory_bytes", "Bytes held for clients.", labels)
            .set(static_cast<double>(memory.heldBytes(cause)));
        m_registry.gauge("apricot_client_memory_evictions", "Connections closed because others needed their memory.", labels)
            .set(static_cast<double>(memory.evictions(cause)));
        m_registry.gauge("apricot_client_memory_refusals", "Requests and responses that got no more memory.", labels)
            .set(static_cast<double>(memory.refusals(cause)));
    }
    m_registry.gauge("apricot_client_memory_limit_bytes", "Bytes that may be held for clients.")
        .set(static_cast<double>(memory.totalBytes()));
    m_registry.gauge("apricot_client_connections", "Open connections of callers.")
        .set(static_cast<double>(counts.connections));
    const std::pair<const char*, std::uint64_t> ends[] = { { "idle_closed", counts.idleClosed },
        { "slow_closed", counts.slowClosed }, { "refused", counts.refused }, { "evicted", counts.evicted }, { "without_memory", counts.withoutMemory },
        { "too_large", counts.tooLarge }, { "too_slow", counts.tooSlow } };
    for (const auto& [end, count] : ends) {
        m_registry
            .gauge("apricot_client_limits_met", "Connections and requests of callers that a limit ended, by the limit.",
                { { "limit", end } })
            .set(static_cast<double>(count));
    }
}

}
