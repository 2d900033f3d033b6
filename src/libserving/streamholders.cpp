#include "libserving/streamholders.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

std::vector<HostId> rankStreamHolders(
    const std::string& requestId, const std::map<HostId, PeerHost>& hosts)
{
    std::vector<HostId> ids;
    ids.reserve(hosts.size());
    for (const auto& [id, host] : hosts)
        ids.push_back(id);
    std::vector<HostId> ranked = rankHosts(requestId, ids);
    if (ranked.size() <= streamHolderCount)
        return ranked;
    const FailureDomainId& firstDomain = hosts.at(ranked.front()).domain;
    const auto second = std::find_if(ranked.begin() + 1, ranked.end(),
        [&](const HostId& id) { return hosts.at(id).domain != firstDomain; });
    if (second != ranked.end())
        std::rotate(ranked.begin() + 1, second, second + 1);
    return ranked;
}

}
