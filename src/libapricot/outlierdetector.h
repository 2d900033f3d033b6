#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/decay.h"
#include "libapricot/stagecall.h"

#include <map>
#include <vector>

namespace Apricot {

struct OutlierOptions {
    // A server whose time per token exceeds the median of its pool by this factor is ejected.
    double slowdownFactor = 3;
    // Consecutive failures after which a server is ejected.
    int consecutiveFailureLimit = 4;
    int minSamples = 4;
    // Duration of the first ejection; each consecutive one is longer by the same amount,
    // up to maxEjectionTime.
    Milliseconds baseEjectionTime { 3000 };
    Milliseconds maxEjectionTime { 30000 };
    // Share of a pool's servers that is never ejected, whatever their results.
    double minActiveShare = 0.5;
};

// Temporarily ejects slow and failing servers from routing. A minimum share of the servers remains,
// so that a fault that affects the whole pool doesn't eject all of them.
class OutlierDetector {
public:
    explicit OutlierDetector(OutlierOptions options = {});

    void recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now);
    // Ejects servers of the pool that have become outliers. Returns the servers that are not ejected.
    std::vector<BackendServerId> ejectOutliers(const std::vector<BackendServerId>& pool, TimePoint now);
    bool isEjected(const BackendServerId& server, TimePoint now) const;

private:
    struct ServerHistory {
        DecayingMean millisecondsPerToken;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        TimePoint ejectedUntil {};
    };

    double medianMillisecondsPerToken(const std::vector<BackendServerId>& pool) const;
    bool isOutlier(const ServerHistory& history, double median) const;
    void eject(ServerHistory& history, TimePoint now) const;

    OutlierOptions m_options;
    std::map<BackendServerId, ServerHistory> m_histories;
};

}
