#pragma once

#include "libapricot/controlview.h"
#include "libnet/peerstream.h"

#include <optional>
#include <vector>

namespace Apricot {

// Live members of the cell by their rank for a key: the first is the key's home.
std::vector<Member> rankLiveMembers(const ControlView& view, const std::string& key);
// Where a host's daemon listens for its peers, if it is a member.
std::optional<PeerEndpoint> findEndpoint(const ControlView& view, const HostId& host);

}
