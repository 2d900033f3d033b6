#pragma once

#include "libapricot/controlview.h"
#include "libnet/peerstream.h"

#include <optional>
#include <vector>

namespace Apricot {

// Live members of the cell, ordered by rank for a key. The first is the key's home.
std::vector<Member> rankLiveMembers(const ControlView& view, const std::string& key);
// Peer endpoint of a host's daemon, or nullopt if the host is not a member.
std::optional<PeerEndpoint> findEndpoint(const ControlView& view, const HostId& host);

}
