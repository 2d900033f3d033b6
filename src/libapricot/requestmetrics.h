#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/metrics.h"
#include "libapricot/refusal.h"
#include "libapricot/stagecall.h"

#include <optional>
#include <vector>

namespace Apricot {

// Timing of one request as seen by its caller.
struct RequestTiming {
    Duration elapsed { 0 };
    // Time from the request to its first token; nothing if there was none.
    std::optional<Duration> firstToken;
    Duration deadline { 0 };

    auto operator<=>(const RequestTiming&) const = default;
};

// Exports end-to-end deadline attainment and costs by stage. Labels come from the catalogue, so that
// callers can't create new label values.
class RequestMetrics {
public:
    explicit RequestMetrics(MetricRegistry& registry)
        : m_registry(registry)
    {
    }

    // Records a request whose response was complete, in time or late.
    void recordCompleted(const CatalogueEntry& entry, const RequestTiming& timing,
        const std::vector<StageCost>& costs);
    // Records a request that ended with a refusal, before or during its stream.
    void recordRefused(const CatalogueEntry& entry, const Refusal& refusal);
    // Records a request whose caller disconnected before the end.
    void recordAbandoned(const CatalogueEntry& entry);

private:
    void countOutcome(const CatalogueEntry& entry, const std::string& outcome);
    void countCost(const CatalogueEntry& entry, const StageCost& cost);

    MetricRegistry& m_registry;
};

}
