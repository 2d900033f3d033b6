#include "libserving/coldlimiter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

    // Longer than the second over which arrivals at a server are counted, because network delays vary:
    // requests sent in different seconds can arrive in the same one.
    constexpr Milliseconds rateWindow { 1200 };
    // Share of the bound that the known hosts use. The rest is a reserve for hosts that have just joined
    // and that other hosts do not know yet.
    constexpr double usedShare = 0.8;

}

ColdLimiter::ColdLimiter(ColdLimiterOptions options)
    : m_options(options)
{
}

void ColdLimiter::setHosts(HostId self, std::vector<HostId> hosts)
{
    m_self = std::move(self);
    m_hosts = std::move(hosts);
}

bool ColdLimiter::tryAcquire(const BackendServerId& server, double coldRate, TimePoint now)
{
    std::deque<TimePoint>& sendTimes = m_sendTimes[server];
    while (!sendTimes.empty() && sendTimes.front() + rateWindow <= now)
        sendTimes.pop_front();
    if (static_cast<int>(sendTimes.size()) >= hostShare(server, coldRate))
        return false;
    sendTimes.push_back(now);
    return true;
}

int ColdLimiter::hostShare(const BackendServerId& server, double coldRate) const
{
    if (m_hosts.empty())
        return 0;
    const double bound = usedShare * (coldRate * m_options.overshoot + m_options.tolerance);
    const int share = static_cast<int>(std::floor(bound / static_cast<double>(m_hosts.size())));
    if (share >= 1)
        return share;
    const std::vector<HostId> ranked = rankHosts(server.value(), m_hosts);
    const auto position = std::find(ranked.begin(), ranked.end(), m_self) - ranked.begin();
    return position < static_cast<std::ptrdiff_t>(bound) ? 1 : 0;
}

}
