#include "libapricot/partitionknowledge.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    bool isKnown(const std::vector<RecordHolder>& members, const RequestKey& key,
        const std::vector<RecordHolder>& answered)
    {
        std::vector<HostId> hosts;
        hosts.reserve(members.size());
        for (const RecordHolder& member : members)
            hosts.push_back(member.host);
        const std::vector<HostId> order = rankHosts(key.value(), hosts);
        const auto answers = [&](const HostId& host) {
            const auto member = std::find_if(members.begin(), members.end(),
                [&host](const RecordHolder& candidate) { return candidate.host == host; });
            return std::find(answered.begin(), answered.end(), *member) != answered.end();
        };
        if (order.empty() || answers(order[0]))
            return true;
        if (order.size() < 2)
            return false;
        return answers(order[1]) && (order.size() < 3 || answers(order[2]));
    }

}

void PartitionKnowledge::observe(const std::vector<Member>& members, TimePoint now)
{
    if (now - m_observedAt > m_longestGap)
        m_epochs.clear();
    m_observedAt = now;
    Epoch epoch { .since = now };
    for (const Member& member : members)
        epoch.members.push_back({ .host = member.host, .incarnation = member.incarnation });
    std::sort(epoch.members.begin(), epoch.members.end());
    if (m_epochs.empty() || m_epochs.back().members != epoch.members)
        m_epochs.push_back(std::move(epoch));
    // The epoch that was in force when the retention time began is still needed.
    while (m_epochs.size() > 1 && m_epochs[1].since + m_retention <= now)
        m_epochs.pop_front();
}

bool PartitionKnowledge::isComplete(
    const RequestKey& key, const std::vector<RecordHolder>& answered, TimePoint now) const
{
    if (m_epochs.empty() || now - m_observedAt > m_longestGap || now < m_lostUntil)
        return false;
    if (m_epochs.front().since + m_retention > now)
        return false;
    return std::all_of(m_epochs.begin(), m_epochs.end(),
        [&](const Epoch& epoch) { return isKnown(epoch.members, key, answered); });
}

}
