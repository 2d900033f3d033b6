#pragma once

#include "libapricot/identifier.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Apricot {

// Hash that is the same on every host and in every build.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Hosts in order of preference for a key by rendezvous hashing: adding or removing a host moves only
// the keys that it wins, and the next in order after a removal is the one that stood second.
std::vector<HostId> rankHosts(std::string_view key, const std::vector<HostId>& hosts);

}
