#pragma once

#include "gateway/plainforwarder.h"
#include "gateway/stagehome.h"
#include "libapricot/metrics.h"

namespace Apricot {

// Counters and histograms of a gateway.
class GatewayMetrics {
public:
    explicit GatewayMetrics(MetricRegistry& registry);

    void onRequestEnded(std::string_view kind, const ServedOutcome& outcome, Duration duration);
    // Sets the gauges that are computed on demand.
    void setGauges(const ServingView& view, const StageHome& home, RetryWindow& retries,
        const PoisonTable& poison, bool isStoreLost);

    void setLimitedServers(std::size_t count) { m_limitedServers.set(static_cast<double>(count)); }
    void setBrittleServers(std::size_t count) { m_brittleServers.set(static_cast<double>(count)); }
    void setRestingServers(std::size_t count) { m_restingServers.set(static_cast<double>(count)); }
    // Sets what is held for clients, and how many were refused or cut for it.
    void setClients(const MemoryAccount& memory, const HttpServerCounts& counts);
    void setLostLinks(std::size_t count) { m_lostLinks.set(static_cast<double>(count)); }

private:
    MetricRegistry& m_registry;
    Counter& m_sends;
    Gauge& m_configVersion;
    Gauge& m_servers;
    Gauge& m_hosts;
    Gauge& m_waitingPieces;
    Gauge& m_storeLost;
    Gauge& m_suspectRequests;
    Gauge& m_poisonedRequests;
    Gauge& m_suspectParts;
    Gauge& m_poisonedParts;
    Gauge& m_limitedServers;
    Gauge& m_lostLinks;
    Gauge& m_brittleServers;
    Gauge& m_restingServers;
};

}
