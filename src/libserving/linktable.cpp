#include "libserving/linktable.h"

#include <algorithm>

namespace Apricot {

LinkTable::LinkTable(LinkTableOptions options)
    : m_options(options)
{
}

std::optional<TimePoint> LinkTable::recordReached(const Endpoint& server, TimePoint now)
{
    m_lastReachedAt = now;
    m_reachedAt[server] = now;
    const auto lost = m_lost.extract(server);
    return lost.empty() ? std::nullopt : std::optional(lost.mapped());
}

bool LinkTable::recordUnreachable(const Endpoint& server, TimePoint now)
{
    return m_lost.try_emplace(server, now).second;
}

bool LinkTable::isLost(const Endpoint& server, TimePoint now) const
{
    return m_lost.contains(server) || isCutOff(now);
}

bool LinkTable::isCutOff(TimePoint now) const
{
    if (m_lost.size() < m_options.minLostLinks)
        return false;
    std::size_t newlyLost = 0;
    TimePoint firstLostAt = now;
    for (const auto& [server, since] : m_lost) {
        // A server that has ended stays unreachable while others are reached.
        if (since <= m_lastReachedAt)
            continue;
        ++newlyLost;
        firstLostAt = std::min(firstLostAt, since);
    }
    return newlyLost >= m_options.minLostLinks && now >= firstLostAt + m_options.minCutTime;
}

std::vector<Endpoint> LinkTable::nextToProbe(std::size_t count)
{
    std::vector<Endpoint> servers;
    auto next = m_lost.upper_bound(m_lastProbed);
    while (servers.size() < std::min(count, m_lost.size())) {
        if (next == m_lost.end())
            next = m_lost.begin();
        m_lastProbed = next->first;
        servers.push_back(next->first);
        ++next;
    }
    return servers;
}

bool LinkTable::startSilenceProbe(const Endpoint& server, TimePoint sentAt, TimePoint now)
{
    const auto reached = m_reachedAt.find(server);
    const TimePoint lastSign = reached == m_reachedAt.end() ? sentAt : std::max(sentAt, reached->second);
    if (m_lost.contains(server) || now < lastSign + m_options.silenceTime)
        return false;
    const auto [probed, isFirst] = m_silenceProbedAt.try_emplace(server, now);
    if (!isFirst && now < probed->second + m_options.silenceProbeInterval)
        return false;
    probed->second = now;
    return true;
}

void LinkTable::retain(const std::set<Endpoint>& listed)
{
    const auto isUnlisted = [&listed](const auto& entry) { return !listed.contains(entry.first); };
    std::erase_if(m_lost, isUnlisted);
    std::erase_if(m_reachedAt, isUnlisted);
    std::erase_if(m_silenceProbedAt, isUnlisted);
}

}
