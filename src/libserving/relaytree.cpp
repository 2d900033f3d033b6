#include "libserving/relaytree.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

RelayPosition findRelayPosition(
    const HostId& self, std::vector<HostId> hosts, const RelayTreeOptions& options)
{
    if (hosts.size() <= options.maxDirectHosts)
        return {};
    const std::vector<HostId> ranked = rankHosts("relay", hosts);
    const auto ownPosition = std::find(ranked.begin(), ranked.end(), self);
    if (ownPosition == ranked.end())
        return {};
    const auto index = static_cast<std::size_t>(ownPosition - ranked.begin());
    if (index < options.watcherCount)
        return { .isDirect = true, .isWatcher = true };
    RelayPosition position { .isDirect = false, .depth = 1 };
    const auto parentOf = [&options](std::size_t child) { return (child - options.watcherCount) / options.fanOut; };
    const std::size_t parent = parentOf(index);
    for (std::size_t ancestor = parent; ancestor >= options.watcherCount; ancestor = parentOf(ancestor))
        ++position.depth;
    position.parents.push_back(ranked[parent]);
    if (parent + 1 < index)
        position.parents.push_back(ranked[parent + 1]);
    return position;
}

}
