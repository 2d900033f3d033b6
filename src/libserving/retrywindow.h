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
    // An earlier process of this host may have used its share of the slack, so this one uses none until a
    // window has passed since it started.
    explicit RetryWindow(RetryWindowOptions options = {}, TimePoint startedAt = TimePoint::min());

    void setOptions(const RetryWindowOptions& options) { m_options = options; }
    // Sets the number of hosts that share the bound; zero if they are not known, in which case no slack is used.
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

    double slackShare(TimePoint now) const;
    void expire(std::deque<TimePoint>& times, TimePoint now) const;

    RetryWindowOptions m_options;
    TimePoint m_startedAt;
    std::size_t m_hostCount = 0;
    std::map<PoolId, SendTimes> m_sendTimes;
};

}
