#pragma once

#include "libapricot/identifier.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace Apricot {

// Hash that is the same on every host and in every build.
std::uint64_t stableHash(std::string_view text, std::uint64_t seed = 0);

// Hosts in order of preference for a key, by rendezvous hashing. Adding or removing a host moves
// only the keys for which it ranks first; after a removal, the host that ranked second is the
// first.
std::vector<HostId> rankHosts(std::string_view key, const std::vector<HostId>& hosts);

}
