#pragma once

#include "libserving/serverdirectory.h"

#include <string_view>
#include <vector>

namespace Apricot {

// Splits the servers of a pool into groups, each with one home that makes its calls. Small enough for
// one host to serve, large enough that calls fill and one failed server leaves others. All hosts that
// know the same servers split them alike; a server that comes or goes moves few others, because a
// group's new home does not know what its servers hold.
class StageGroups {
public:
    // Servers of the pool that stay, also those that may get no work at present.
    explicit StageGroups(const std::vector<const KnownServer*>& servers);

    // Group of a server, by rendezvous hashing over the groups.
    int groupOf(const BackendServerId& server) const;
    // Group for a request: that of a server that the request's identity draws, so that groups get work
    // in proportion to their servers. The draw gives different servers for different numbers.
    int drawGroup(std::string_view requestId, unsigned draw,
        const std::vector<const KnownServer*>& usable) const;

private:
    int m_groups;
};

}
