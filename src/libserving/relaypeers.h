#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <map>
#include <optional>
#include <vector>

namespace Apricot {

struct RelayPeersOptions {
    // Number of peers that a host relays calls through, so that it keeps connections to few of a large system.
    std::size_t maxPeers = 16;
    // How long a peer is avoided that reaches no server or is busy, and one that did not respond.
    Milliseconds refusedAvoidTime { 400 };
    Milliseconds silentAvoidTime { 1500 };
};

// The peers through which this host sends calls to servers that it does not reach itself.
class RelayPeers {
public:
    explicit RelayPeers(RelayPeersOptions options = {});

    void setHosts(const HostId& self, const std::vector<HostId>& hosts);
    // The peer with the fewest relayed calls in flight, or nothing if all are avoided.
    std::optional<HostId> choose(TimePoint now);
    void onCallStarted(const HostId& peer) { ++m_peers[peer].inFlight; }
    void onCallEnded(const HostId& peer);
    // Records that a peer sent nothing to a server, for want of links or time, or that it did not respond.
    void recordRefusal(const HostId& peer, TimePoint now);
    void recordSilence(const HostId& peer, TimePoint now);

private:
    struct PeerState {
        int inFlight = 0;
        TimePoint avoidedUntil {};
    };

    RelayPeersOptions m_options;
    std::vector<HostId> m_order;
    std::map<HostId, PeerState> m_peers;
    // Position after the peer that was chosen last.
    std::size_t m_next = 0;
};

}
