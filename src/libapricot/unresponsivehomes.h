#pragma once

#include "libapricot/controlview.h"

#include <map>
#include <vector>

namespace Apricot {

// Remembers which hosts did not answer as homes, so that no more attempts go through them for a
// while. Several replicas have the same home; without this, each retry could meet the same frozen one.
class UnresponsiveHomes {
public:
    void recordTimeout(const HostId& home, TimePoint now);
    void recordResponse(const HostId& home) { m_unresponsiveUntil.erase(home); }

    // Servers of a pool whose homes are silent; none when that would leave no server of the pool.
    std::vector<BackendServerId> serversWithUnresponsiveHome(
        const ControlView& view, const PoolId& pool, TimePoint now) const;

private:
    bool isUnresponsive(const HostId& home, TimePoint now) const;

    std::map<HostId, TimePoint> m_unresponsiveUntil;
};

}
