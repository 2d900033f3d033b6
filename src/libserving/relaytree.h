#pragma once

#include "libapricot/identifier.h"

#include <vector>

namespace Apricot {

struct RelayTreeOptions {
    // Up to so many hosts, each asks the store itself.
    std::size_t maxDirectHosts = 10;
    // Hosts that ask the store for the others, where there are more.
    std::size_t watcherCount = 2;
    // Hosts that ask one host for what it knows.
    std::size_t fanOut = 8;
};

// Where a host learns what the store holds.
struct RelayPosition {
    // Whether it asks the store itself.
    bool isDirect = true;
    // Whether other hosts depend on what it knows.
    bool isWatcher = false;
    // Hosts to ask in turn, otherwise.
    std::vector<HostId> parents;

    auto operator<=>(const RelayPosition&) const = default;
};

// Places all hosts in one tree by a hash of their names, so that the store's calls do not grow with
// the hosts and no host is asked by more than a few. All hosts that know the same hosts agree.
RelayPosition findRelayPosition(
    const HostId& self, std::vector<HostId> hosts, const RelayTreeOptions& options = {});

}
