#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <deque>
#include <map>
#include <vector>

namespace Apricot {

struct RetryWindowOptions {
    // All hosts together may send `ratio` retries per request plus `slack` retries per window.
    double ratio = 0.2;
    double slack = 50;
    Milliseconds window { 10'000 };
};

// Retries in the current window, and how many this host may send in it.
struct RetryUsage {
    std::size_t retries = 0;
    double allowed = 0;

    auto operator<=>(const RetryUsage&) const = default;
};

// Limits how often this host sends a request to another server of the same pool, as its share of a bound
// over all hosts. Each host has an equal share of the fixed slack, so the hosts need not communicate.
class RetryWindow {
public:
    explicit RetryWindow(RetryWindowOptions options = {});

    void setOptions(const RetryWindowOptions& options) { m_options = options; }
    // Sets the number of hosts that share the bound.
    void setHosts(std::size_t hostCount);
    // Records a caller's request to a pool.
    void recordRequest(const PoolId& pool, TimePoint now);
    // Acquires a permit for one retry. Returns false when this host's share of the bound is used up.
    bool tryAcquireRetry(const PoolId& pool, TimePoint now);
    RetryUsage usage(const PoolId& pool, TimePoint now);
    // Pools that requests were recorded for.
    std::vector<PoolId> pools() const;

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
