#pragma once

#include "libserving/sharinghosts.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Apricot {

struct RetryWindowOptions {
    // All hosts together may send `ratio` retries per request plus `slack` retries per window.
    double ratio = 0.2;
    double slack = 50;
    Milliseconds window { 10'000 };
    // Longest time for which a host that has left the list of hosts still serves.
    Milliseconds leavingTime { 8000 };
};

// Retries in the current window, and how many this host may send in it.
struct RetryUsage {
    std::size_t retries = 0;
    double allowed = 0;

    auto operator<=>(const RetryUsage&) const = default;
};

class RetryWindow;

// Permits one retry. The retry counts until a window after the permit was released, by which the request has
// arrived at its server.
class RetryPermit {
public:
    RetryPermit(RetryWindow& retries, PoolId pool);
    ~RetryPermit();

    RetryPermit(RetryPermit&& other) noexcept;
    RetryPermit& operator=(RetryPermit&& other) = delete;

    // Ends the retry. The destructor does so otherwise.
    void release(TimePoint now);

private:
    RetryWindow* m_retries;
    PoolId m_pool;
};

// Limits how often this host sends a request to another server of the same pool, as its share of a bound
// over all hosts, without communication between the hosts. Callers move between hosts, and hosts leave that have
// used their permits, so a host's requests allow retries only as far as it had as many requests in the window
// before: a request that moved here counts there, at another host. Each host has an equal share of the slack.
class RetryWindow {
public:
    // An earlier process of this host may have used its share of the slack, so this one uses none until a
    // window has passed since it started.
    explicit RetryWindow(RetryWindowOptions options = {}, TimePoint startedAt = TimePoint::min());

    void setOptions(const RetryWindowOptions& options);
    // Sets the hosts that share the bound, none if they are not known, in which case no slack is used. A host
    // that has left keeps its share until its retries no longer count.
    void setHosts(const std::vector<HostId>& hosts, TimePoint now) { m_hosts.setListed(hosts, now); }
    // Records a caller's request to a pool.
    void recordRequest(const PoolId& pool, TimePoint now);
    // Returns nothing when this host's share of the bound is used up.
    std::optional<RetryPermit> tryAcquireRetry(const PoolId& pool, TimePoint now);
    RetryUsage usage(const PoolId& pool, TimePoint now);
    // Pools that requests were recorded for.
    std::vector<PoolId> pools() const;

private:
    friend class RetryPermit;

    struct SendTimes {
        std::deque<TimePoint> requests;
        std::size_t permits = 0;
        // When permits were released.
        std::deque<TimePoint> retries;
    };

    void releasePermit(const PoolId& pool, TimePoint now);
    double allowedRetries(const SendTimes& sendTimes, TimePoint now) const;

    RetryWindowOptions m_options;
    TimePoint m_startedAt;
    SharingHosts m_hosts;
    std::map<PoolId, SendTimes> m_sendTimes;
};

}
