#pragma once

#include "libserving/sharinghosts.h"

#include <deque>
#include <map>
#include <set>

namespace Apricot {

struct ColdLimiterOptions {
    // All hosts together may send a cold server `overshoot` times its pool's cold rate plus `tolerance`
    // requests per second.
    double overshoot = 1.5;
    double tolerance = 5;
    // Longest time for which a host that has left the list of hosts still serves.
    Milliseconds leavingTime { 8000 };
};

// Limits the requests that this host sends to a cold backend server to its share of a bound over all
// hosts. Where the bound is smaller than the number of hosts, the hosts with the highest rendezvous rank
// for the server may send one request each and the others none.
class ColdLimiter {
public:
    // An earlier process of this host may have used its share, so this one uses none until that no longer counts.
    explicit ColdLimiter(ColdLimiterOptions options = {}, TimePoint startedAt = TimePoint::min());

    void setOptions(const ColdLimiterOptions& options);
    // Sets this host's own ID and the IDs of all listed hosts. No request is permitted until this host is among them, nor
    // once it has left and its part no longer counts.
    void setHosts(HostId self, const std::vector<HostId>& hosts, TimePoint now);
    // Whether a permit would be acquired.
    bool mayAcquire(const BackendServerId& server, double coldRate, TimePoint now);
    // Acquires a permit to send one request to a cold server. Returns false when this host's share is used
    // up and the request must go to another server.
    bool tryAcquire(const BackendServerId& server, double coldRate, TimePoint now);

    // Removes the state of servers other than these to which no request was sent lately: an entry may come back.
    void retain(const std::set<BackendServerId>& servers, TimePoint now);

private:
    int hostShare(const BackendServerId& server, double coldRate, TimePoint now) const;

    ColdLimiterOptions m_options;
    TimePoint m_startedAt;
    HostId m_self;
    SharingHosts m_hosts;
    std::map<BackendServerId, std::deque<TimePoint>> m_sendTimes;
};

}
