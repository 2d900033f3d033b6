#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/metrics.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <vector>

namespace Apricot {

// One request as its caller saw it.
struct RequestTiming {
    Duration elapsed { 0 };
    // From the request to its first token; nothing when there was none.
    std::optional<Duration> firstToken;
    Duration deadline { 0 };

    auto operator<=>(const RequestTiming&) const = default;
};

// Counts what operators measure: attainment of deadlines end to end, and cost by stage. Labels come
// from the catalogue, so that callers can't make up new ones.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricRegistry& registry)
        : m_registry(registry)
    {
    }

    // Counts a request that was answered whole, in time or late.
    void recordCompleted(const CatalogueEntry& entry, const RequestTiming& timing,
        const std::vector<StageCost>& costs);
    // Counts a request that ended with a refusal, before or within its stream.
    void recordRefused(const CatalogueEntry& entry, const Refusal& refusal);
    // Counts a request whose caller left before its end.
    void recordAbandoned(const CatalogueEntry& entry);

private:
    void countOutcome(const CatalogueEntry& entry, const std::string& outcome);
    void countCost(const CatalogueEntry& entry, const StageCost& cost);

    MetricRegistry& m_registry;
};

}
