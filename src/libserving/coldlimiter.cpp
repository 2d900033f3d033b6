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

ColdLimiter::ColdLimiter(ColdLimiterOptions options, TimePoint startedAt)
    : m_startedAt(startedAt)
{
    setOptions(options);
}

void ColdLimiter::setOptions(const ColdLimiterOptions& options)
{
    m_options = options;
    m_hosts.setOptions({ .leavingTime = options.leavingTime, .countedTime = rateWindow });
}

void ColdLimiter::setHosts(HostId self, const std::vector<HostId>& hosts, TimePoint now)
{
    m_self = std::move(self);
    m_hosts.setListed(hosts, now);
}

bool ColdLimiter::mayAcquire(const BackendServerId& server, double coldRate, TimePoint now)
{
    if (now < m_startedAt + rateWindow)
        return false;
    std::deque<TimePoint>& sendTimes = m_sendTimes[server];
    while (!sendTimes.empty() && sendTimes.front() + rateWindow <= now)
        sendTimes.pop_front();
    return static_cast<int>(sendTimes.size()) < hostShare(server, coldRate, now);
}

bool ColdLimiter::tryAcquire(const BackendServerId& server, double coldRate, TimePoint now)
{
    if (!mayAcquire(server, coldRate, now))
        return false;
    m_sendTimes[server].push_back(now);
    return true;
}

void ColdLimiter::retain(const std::set<BackendServerId>& servers, TimePoint now)
{
    std::erase_if(m_sendTimes, [&](const auto& entry) {
        const bool isCounted = !entry.second.empty() && now < entry.second.back() + rateWindow;
        return !servers.contains(entry.first) && !isCounted;
    });
}

int ColdLimiter::hostShare(const BackendServerId& server, double coldRate, TimePoint now) const
{
    if (!m_hosts.contains(m_self, now))
        return 0;
    const std::vector<HostId> hosts = m_hosts.all(now);
    const double bound = usedShare * (coldRate * m_options.overshoot + m_options.tolerance);
    const int share = static_cast<int>(std::floor(bound / static_cast<double>(hosts.size())));
    if (share >= 1)
        return share;
    const std::vector<HostId> ranked = rankHosts(server.value(), hosts);
    const auto position = std::find(ranked.begin(), ranked.end(), m_self) - ranked.begin();
    return position < static_cast<std::ptrdiff_t>(bound) ? 1 : 0;
}

}
