#pragma once

#include "libserving/serverdirectory.h"

#include <map>
#include <string_view>
#include <vector>

namespace Apricot {

// Splits the servers of a pool into groups, each with one home that makes its calls. Small enough for
// one host to serve, large enough that calls fill and one failed server leaves others. Where each
// failure domain has enough servers, groups stay within one, so that a request's stages can too. All
// hosts that know the same servers split them alike; a server that comes or goes moves few others,
// because a group's new home does not know what its servers hold.
class StageGroups {
public:
    // Servers of the pool that stay, also those that may get no work at present.
    explicit StageGroups(const std::vector<const KnownServer*>& servers);

    // Group of a server, by rendezvous hashing over the groups that it may be in.
    int groupOf(const ServerEntry& server) const;
    // Group for a request: that of a server that the request's identity draws, so that groups get work
    // in proportion to their servers. The draw gives different servers for different numbers. Servers
    // of the domain go first, where there are any; an empty one means any.
    int pickGroup(std::string_view requestId, unsigned seed, const FailureDomainId& domain,
        const std::vector<const KnownServer*>& usable) const;

private:
    // Groups of each failure domain; empty when groups span them.
    std::map<FailureDomainId, int> m_groupCountByDomain;
    int m_groupCount = 1;
};

}
