#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <deque>
#include <map>

namespace Apricot {

struct RetryWindowOptions {
    // Repeats allowed for each request, and so many more in each window, over all hosts.
    double ratio = 0.2;
    double slack = 50;
    Milliseconds window { 10'000 };
};

// Bounds how often this host sends requests to a second server of a pool, as its part of a bound
// over all hosts. Each host has an equal part of the fixed slack, so the hosts need not talk.
class RetryWindow {
public:
    explicit RetryWindow(RetryWindowOptions options = {});

    void setOptions(const RetryWindowOptions& options) { m_options = options; }
    // Number of hosts that share the bound.
    void setHosts(std::size_t hostCount);
    // Counts a request that a caller sent for a pool.
    void recordRequest(const PoolId& pool, TimePoint now);
    // Takes one repeat; false when this host's part of the bound is used up.
    bool tryAcquireRetry(const PoolId& pool, TimePoint now);

private:
    struct SendTimes {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };

    void expire(std::deque<TimePoint>& times, TimePoint now) const;

    RetryWindowOptions m_options;
    double m_hostCount = 1;
    std::map<PoolId, SendTimes> m_sendTimes;
};

}
