#include "libserving/stagegroups.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <iterator>

namespace Apricot {

namespace {

    constexpr std::size_t serversPerGroup = 6;
    // Groups stay within a failure domain when domains have so many servers each, on average.
    constexpr std::size_t leastPerDomain = 3;
    // Servers of a domain for each of its groups, at least.
    constexpr int leastPerGroup = 5;
    // Numbers of the groups of one domain lie apart from those of another.
    constexpr std::uint64_t domainNumbers = 1U << 20U;
    constexpr int groupsPerDomain = 1 << 10U;

    int highestRanked(const ServerEntry& server, int groups)
    {
        int best = 0;
        std::uint64_t bestHash = 0;
        for (int group = 0; group < groups; ++group) {
            const std::uint64_t hash
                = stableHash(server.id.value(), static_cast<std::uint64_t>(group));
            if (hash >= bestHash) {
                best = group;
                bestHash = hash;
            }
        }
        return best;
    }

}

StageGroups::StageGroups(const std::vector<const KnownServer*>& servers)
    : m_groups(static_cast<int>(
        std::max<std::size_t>((servers.size() + serversPerGroup - 1) / serversPerGroup, 1)))
{
    std::map<FailureDomainId, int> counts;
    for (const KnownServer* known : servers)
        ++counts[known->server.domain];
    if (counts.size() < 2 || servers.size() < leastPerDomain * counts.size())
        return;
    for (const auto& [domain, count] : counts)
        m_domainGroups[domain] = std::clamp(count / leastPerGroup, 1, groupsPerDomain);
}

int StageGroups::groupOf(const ServerEntry& server) const
{
    const auto found = m_domainGroups.find(server.domain);
    if (found == m_domainGroups.end())
        return highestRanked(server, m_groups);
    const auto number = static_cast<int>(stableHash(server.domain.value()) % domainNumbers);
    return (number + 1) * groupsPerDomain + highestRanked(server, found->second);
}

int StageGroups::pickGroup(std::string_view requestId, unsigned draw,
    const FailureDomainId& domain, const std::vector<const KnownServer*>& usable) const
{
    std::vector<const KnownServer*> near;
    if (!domain.empty() && !m_domainGroups.empty())
        std::copy_if(usable.begin(), usable.end(), std::back_inserter(near),
            [&domain](const KnownServer* known) { return known->server.domain == domain; });
    const std::vector<const KnownServer*>& drawn = near.empty() ? usable : near;
    if (drawn.empty())
        return 0;
    return groupOf(drawn[stableHash(requestId, draw) % drawn.size()]->server);
}

}
