#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/decay.h"
#include "libapricot/stagecall.h"

#include <map>
#include <vector>

namespace Apricot {

struct OutlierOptions {
    // A server this many times slower for a token than the median of its pool is ejected.
    double slowdownFactor = 3;
    // Consecutive failures after which a server is ejected.
    int consecutiveFailureLimit = 4;
    int minSamples = 4;
    // First ejection; each one in a row lasts as much longer.
    Milliseconds baseEjectionTime { 3000 };
    Milliseconds maxEjectionTime { 30000 };
    // Share of a pool's servers that stay in whatever their results.
    double minActiveShare = 0.5;
};

// Takes stragglers and failing servers out of the choice for a while. A floor of servers stays in,
// so that a fault that meets the whole pool ejects none of its last ones.
class OutlierDetector {
public:
    explicit OutlierDetector(OutlierOptions options = {});

    void recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now);
    // The servers of one pool that stay in. Ejects what has become an outlier first.
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
