#include "libapricot/unresponsivehomes.h"

namespace Apricot {

namespace {

    constexpr Milliseconds avoidanceTime { 3000 };

}

void UnresponsiveHomes::recordTimeout(const HostId& home, TimePoint now)
{
    m_unresponsiveUntil[home] = now + avoidanceTime;
}

std::vector<BackendServerId> UnresponsiveHomes::serversWithUnresponsiveHome(
    const ControlView& view, const PoolId& pool, TimePoint now) const
{
    std::vector<BackendServerId> affectedServers;
    if (m_unresponsiveUntil.empty())
        return affectedServers;
    std::size_t reachable = 0;
    for (const auto& [server, home] : view.cell->homes) {
        const auto declared = view.catalogue->servers.find(server);
        if (declared == view.catalogue->servers.end() || declared->second.pool != pool)
            continue;
        if (isUnresponsive(home.home, now))
            affectedServers.push_back(server);
        else
            ++reachable;
    }
    if (reachable == 0)
        affectedServers.clear();
    return affectedServers;
}

bool UnresponsiveHomes::isUnresponsive(const HostId& home, TimePoint now) const
{
    const auto found = m_unresponsiveUntil.find(home);
    return found != m_unresponsiveUntil.end() && now < found->second;
}

}
