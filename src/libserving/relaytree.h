#pragma once

#include "libapricot/identifier.h"

#include <vector>

namespace Apricot {

struct RelayTreeOptions {
    // Largest number of hosts for which each host reads the store itself.
    std::size_t maxDirectHosts = 10;
    // Hosts that read the store on behalf of all others, in larger deployments.
    std::size_t watcherCount = 2;
    // Hosts that read the state from the same parent.
    std::size_t fanOut = 8;
};

// Where a host reads the contents of the store from.
struct RelayPosition {
    // Whether the host reads the store itself.
    bool isDirect = true;
    // Whether other hosts read the state from this host instead of the store.
    bool isWatcher = false;
    // Hosts to query in turn when the host does not read the store.
    std::vector<HostId> parents;
    // Number of steps to a host that reads the store on behalf of others.
    int depth = 0;

    auto operator<=>(const RelayPosition&) const = default;
};

// Returns the position of a host in a tree of all hosts that is ordered by a hash of their IDs. The
// number of requests to the store does not grow with the number of hosts, and each host is queried by few
// others. Hosts with the same host list compute the same tree. A host that is not listed reads the store.
RelayPosition findRelayPosition(
    const HostId& self, std::vector<HostId> hosts, const RelayTreeOptions& options = {});

}
