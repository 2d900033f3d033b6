#include "libserving/sharinghosts.h"

#include <algorithm>

namespace Apricot {

SharingHosts::SharingHosts(SharingHostsOptions options)
    : m_options(options)
{
}

void SharingHosts::setListed(const std::vector<HostId>& hosts, TimePoint now)
{
    if (hosts == m_listed)
        return;
    for (const HostId& host : m_listed)
        m_left[host] = now;
    for (const HostId& host : hosts)
        m_left.erase(host);
    std::erase_if(m_left, [&](const auto& host) { return !isCounted(host.second, now); });
    m_listed = hosts;
}

bool SharingHosts::contains(const HostId& host, TimePoint now) const
{
    if (m_listed.empty())
        return false;
    const auto left = m_left.find(host);
    return std::find(m_listed.begin(), m_listed.end(), host) != m_listed.end()
        || (left != m_left.end() && isCounted(left->second, now));
}

bool SharingHosts::isCounted(TimePoint leftAt, TimePoint now) const
{
    return now < leftAt + m_options.leavingTime + m_options.countedTime;
}

std::size_t SharingHosts::count(TimePoint now) const
{
    if (m_listed.empty())
        return 0;
    const auto left = std::count_if(
        m_left.begin(), m_left.end(), [&](const auto& host) { return isCounted(host.second, now); });
    return m_listed.size() + static_cast<std::size_t>(left);
}

std::vector<HostId> SharingHosts::all(TimePoint now) const
{
    std::vector<HostId> hosts = m_listed;
    if (hosts.empty())
        return hosts;
    for (const auto& [host, leftAt] : m_left) {
        if (isCounted(leftAt, now))
            hosts.push_back(host);
    }
    return hosts;
}

}
