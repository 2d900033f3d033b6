#pragma once

#include "libapricot/controlview.h"

#include <map>
#include <vector>

namespace Apricot {

// Tracks homes that did not respond, so that no further attempts go through them for a while.
// Several replicas have the same home; without this, each retry could reach the same unresponsive
// one.
class UnresponsiveHomes {
public:
    void recordTimeout(const HostId& home, TimePoint now);
    void recordResponse(const HostId& home) { m_unresponsiveUntil.erase(home); }

    // Servers of a pool whose homes are unresponsive; empty if that would exclude every server of
    // the pool.
    std::vector<BackendServerId> serversWithUnresponsiveHome(
        const ControlView& view, const PoolId& pool, TimePoint now) const;

private:
    bool isUnresponsive(const HostId& home, TimePoint now) const;

    std::map<HostId, TimePoint> m_unresponsiveUntil;
};

}
