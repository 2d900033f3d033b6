#include "libserving/stagegroups.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <iterator>

namespace Apricot {

namespace {

    constexpr std::size_t serversPerGroup = 6;
    // Groups stay within a failure domain if the domains have at least this many servers on average.
    constexpr std::size_t minServersPerDomain = 3;
    // A domain has one group for this many of its servers, and at least one.
    constexpr int minServersPerGroup = 5;
    // Each domain has a range of group numbers of its own, at an offset by the hash of its ID.
    constexpr std::uint64_t domainNumberRange = 1U << 20U;
    constexpr int maxGroupsPerDomain = 1 << 10U;

    int highestRankedGroup(const ServerEntry& server, int groupCount)
    {
        int bestGroup = 0;
        std::uint64_t bestHash = 0;
        for (int group = 0; group < groupCount; ++group) {
            const std::uint64_t hash
                = stableHash(server.id.value(), static_cast<std::uint64_t>(group));
            if (hash >= bestHash) {
                bestGroup = group;
                bestHash = hash;
            }
        }
        return bestGroup;
    }

}

StageGroups::StageGroups(const std::vector<const KnownServer*>& servers)
    : m_groupCount(static_cast<int>(
        std::max<std::size_t>((servers.size() + serversPerGroup - 1) / serversPerGroup, 1)))
{
    std::map<FailureDomainId, int> counts;
    for (const KnownServer* known : servers)
        ++counts[known->server.domain];
    if (counts.size() < 2 || servers.size() < minServersPerDomain * counts.size())
        return;
    for (const auto& [domain, count] : counts)
        m_groupCountByDomain[domain] = std::clamp(count / minServersPerGroup, 1, maxGroupsPerDomain);
}

int StageGroups::groupOf(const ServerEntry& server) const
{
    const auto found = m_groupCountByDomain.find(server.domain);
    if (found == m_groupCountByDomain.end())
        return highestRankedGroup(server, m_groupCount);
    const auto number = static_cast<int>(stableHash(server.domain.value()) % domainNumberRange);
    return (number + 1) * maxGroupsPerDomain + highestRankedGroup(server, found->second);
}

int StageGroups::pickGroup(std::string_view requestId, unsigned seed,
    const FailureDomainId& domain, const std::vector<const KnownServer*>& usable) const
{
    std::vector<const KnownServer*> localServers;
    if (!domain.empty() && !m_groupCountByDomain.empty())
        std::copy_if(usable.begin(), usable.end(), std::back_inserter(localServers),
            [&domain](const KnownServer* known) { return known->server.domain == domain; });
    const std::vector<const KnownServer*>& candidates = localServers.empty() ? usable : localServers;
    if (candidates.empty())
        return 0;
    return groupOf(candidates[stableHash(requestId, seed) % candidates.size()]->server);
}

}
