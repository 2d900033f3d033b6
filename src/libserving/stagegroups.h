#pragma once

#include "libserving/serverdirectory.h"

#include <map>
#include <string_view>
#include <vector>

namespace Apricot {

// Divides the servers of a pool into groups. Each group has one home that makes all calls to its servers.
// A group is small enough for one host to serve, and large enough that batches fill up and that other
// servers remain when one fails. Where each failure domain has enough servers, groups do not span domains,
// so that all stages of a request can run in one domain. All hosts with the same server list compute the
// same groups. Adding or removing a server moves few others to another group, because a group's new home
// does not know which results its servers hold.
class StageGroups {
public:
    // `servers` are the pool's servers that are not draining, including those that may not receive work
    // now.
    explicit StageGroups(const std::vector<const KnownServer*>& servers);

    // Group of a server, by rendezvous hashing over the groups of its domain or, if groups span domains,
    // over all groups.
    int groupOf(const ServerEntry& server) const;
    // Group for a request: that of a usable server chosen by a hash of the request ID and the seed, so
    // that groups receive work in proportion to their servers. Different seeds give different choices.
    // Servers of the given domain are preferred if it has any; an empty domain means no preference.
    int pickGroup(std::string_view requestId, unsigned seed, const FailureDomainId& domain,
        const std::vector<const KnownServer*>& usable) const;

private:
    // Number of groups in each failure domain; empty if groups span domains.
    std::map<FailureDomainId, int> m_groupCountByDomain;
    int m_groupCount = 1;
};

}
