#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <deque>
#include <map>
#include <vector>

namespace Apricot {

struct ColdLimiterOptions {
    // All hosts together may send a cold server `overshoot` times its pool's cold rate plus `tolerance`
    // requests per second.
    double overshoot = 1.5;
    double tolerance = 5;
};

// Limits the requests that this host sends to a cold backend server to its share of a bound over all
// hosts. Where the bound is smaller than the number of hosts, the hosts with the highest rendezvous rank
// for the server may send one request each and the others none.
class ColdLimiter {
public:
    explicit ColdLimiter(ColdLimiterOptions options = {});

    void setOptions(const ColdLimiterOptions& options) { m_options = options; }
    // Sets this host's own ID and the IDs of all hosts, including this one. Until it is called, no request
    // is permitted.
    void setHosts(HostId self, std::vector<HostId> hosts);
    // Acquires a permit to send one request to a cold server. Returns false when this host's share is used
    // up and the request must go to another server.
    bool tryAcquire(const BackendServerId& server, double coldRate, TimePoint now);

private:
    int hostShare(const BackendServerId& server, double coldRate) const;

    ColdLimiterOptions m_options;
    HostId m_self;
    std::vector<HostId> m_hosts;
    std::map<BackendServerId, std::deque<TimePoint>> m_sendTimes;
};

}
