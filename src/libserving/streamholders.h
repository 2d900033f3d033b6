#pragma once

#include "libserving/servingview.h"

#include <string>
#include <vector>

namespace Apricot {

// Number of hosts that hold the origin of a stream beside the one that began it.
constexpr std::size_t streamHolderCount = 2;

// Hosts in the order in which they hold, and are asked for, the origin of a stream: the first two by rendezvous
// hashing that are in different failure domains, then the others. All hosts with the same view agree.
std::vector<HostId> rankStreamHolders(
    const std::string& requestId, const std::map<HostId, PeerHost>& hosts);

}
