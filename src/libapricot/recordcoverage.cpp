#include "libapricot/recordcoverage.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Counts which of the key's first three hosts, or of all hosts if there are fewer, have responded.
    std::size_t countRespondedHolders(const std::vector<RecordHolder>& members, const RequestKey& key,
        const std::vector<RecordHolder>& responded)
    {
        std::vector<HostId> ranked;
        ranked.reserve(members.size());
        for (const RecordHolder& member : members)
            ranked.push_back(member.host);
        ranked = rankHosts(key.value(), ranked);
        ranked.resize(std::min(ranked.size(), recordHoldersPerKey));
        return static_cast<std::size_t>(
            std::count_if(members.begin(), members.end(), [&](const RecordHolder& member) {
                return std::find(ranked.begin(), ranked.end(), member.host) != ranked.end()
                    && std::find(responded.begin(), responded.end(), member) != responded.end();
            }));
    }

    // Each record is stored on two of three hosts, so any two of them include one that has it.
    std::size_t requiredHolders(std::size_t members) { return members < recordHoldersPerKey ? 1 : 2; }

}

void RecordCoverage::observe(const std::vector<Member>& members, TimePoint now)
{
    if (now - m_observedAt > m_maxObservationGap)
        m_epochs.clear();
    m_observedAt = now;
    Epoch epoch { .since = now };
    for (const Member& member : members)
        epoch.members.push_back({ .host = member.host, .incarnation = member.incarnation });
    std::sort(epoch.members.begin(), epoch.members.end());
    if (m_epochs.empty() || m_epochs.back().members != epoch.members)
        m_epochs.push_back(std::move(epoch));
    // The epoch that was current when the retention time began is still needed.
    while (m_epochs.size() > 1 && m_epochs[1].since + m_retention <= now)
        m_epochs.pop_front();
}

bool RecordCoverage::isComplete(
    const RequestKey& key, const std::vector<RecordHolder>& responded, TimePoint now) const
{
    if (!hasFullHistory(now))
        return false;
    return std::all_of(m_epochs.begin(), m_epochs.end(),
        [&](const Epoch& epoch) {
            return countRespondedHolders(epoch.members, key, responded)
                >= requiredHolders(epoch.members.size());
        });
}

bool RecordCoverage::isHolder(
    const RequestKey& key, const RecordHolder& self, TimePoint now) const
{
    return hasFullHistory(now)
        && std::all_of(m_epochs.begin(), m_epochs.end(), [&](const Epoch& epoch) {
               return countRespondedHolders(epoch.members, key, { self }) == 1;
           });
}

bool RecordCoverage::hasFullHistory(TimePoint now) const
{
    return !m_epochs.empty() && now - m_observedAt <= m_maxObservationGap && now >= m_incompleteUntil
        && m_epochs.front().since + m_retention <= now;
}

}
