#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <deque>
#include <map>
#include <vector>

namespace Apricot {

struct ColdLimiterOptions {
    // Requests that all hosts together may send to a cold server within a second: the pool's cold
    // rate by the first figure, and the second one on top.
    double overshoot = 1.5;
    double tolerance = 5;
};

// Bounds what this host sends to a cold backend server, as its part of a bound over all hosts. Where
// the bound is smaller than the number of hosts, the hosts that come first for the server by
// rendezvous hashing send one each and the others none.
class ColdLimiter {
public:
    explicit ColdLimiter(ColdLimiterOptions options = {});

    void setOptions(const ColdLimiterOptions& options) { m_options = options; }
    // This host, and all hosts with it.
    void setHosts(HostId self, std::vector<HostId> hosts);
    // Takes one send to a cold server; false when it has to go elsewhere.
    bool tryAcquire(const BackendServerId& server, double coldRate, TimePoint now);

private:
    int hostShare(const BackendServerId& server, double coldRate) const;

    ColdLimiterOptions m_options;
    HostId m_self;
    std::vector<HostId> m_hosts;
    std::map<BackendServerId, std::deque<TimePoint>> m_sendTimes;
};

}
