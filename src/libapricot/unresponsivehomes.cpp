#include "libapricot/unresponsivehomes.h"

namespace Apricot {

namespace {

    constexpr Milliseconds silentTime { 3000 };

}

void UnresponsiveHomes::recordTimeout(const HostId& home, TimePoint now)
{
    m_silentUntil[home] = now + silentTime;
}

std::vector<BackendServerId> UnresponsiveHomes::serversWithUnresponsiveHome(
    const ControlView& view, const PoolId& pool, TimePoint now) const
{
    std::vector<BackendServerId> behind;
    if (m_silentUntil.empty())
        return behind;
    std::size_t reachable = 0;
    for (const auto& [server, home] : view.cell->homes) {
        const auto declared = view.catalogue->servers.find(server);
        if (declared == view.catalogue->servers.end() || declared->second.pool != pool)
            continue;
        if (isSilent(home.home, now))
            behind.push_back(server);
        else
            ++reachable;
    }
    if (reachable == 0)
        behind.clear();
    return behind;
}

bool UnresponsiveHomes::isSilent(const HostId& home, TimePoint now) const
{
    const auto found = m_silentUntil.find(home);
    return found != m_silentUntil.end() && now < found->second;
}

}
