#pragma once

#include "libapricot/cellheartbeat.h"
#include "libapricot/peercontacts.h"

#include <map>
#include <memory>
#include <optional>

namespace Apricot {

// A heartbeat that the writer received and takes into account in its next write.
struct ReceivedHeartbeat {
    CellHeartbeat heartbeat;
    TimePoint receivedAt {};

    auto operator<=>(const ReceivedHeartbeat&) const = default;
};

// Inputs from which the writer of a cell computes the next state.
struct CellPlanInputs {
    const CellState& current;
    // Version of the current state, on which the write is conditional.
    ObjectVersion epoch = 0;
    const Member& self;
    const PeerContacts& contacts;
    const std::map<HostId, ReceivedHeartbeat>& heartbeats;
    // Null until the configuration has been read; no homes are assigned until then.
    std::shared_ptr<const Catalogue> catalogue;
    TimePoint now {};
    // Time without a response after which a member may be removed.
    Milliseconds removalTime { 4000 };
    // Time since which the writer has been polling its peers.
    TimePoint pollingSince {};
};

// Computes the next state of a cell. Members that are known to be gone or have left are removed
// immediately. A write contains at most one join or one removal of an unresponsive member, and only
// once more than half of the members know the previous such change, so that majorities of any two
// successive member sets share a member. A replica keeps its home while that process is a live
// member, except for a few replicas per write that move to the host that ranks first for them.
class CellPlanner {
public:
    explicit CellPlanner(const CellPlanInputs& inputs);

    CellState plan();

private:
    bool isDecommissioned(const Member& member) const;
    bool isOutOfService(const Member& member) const;
    bool isUnresponsive(const Member& member) const;
    bool hasRecentContact(const Member& member) const;
    bool hasAcknowledgedLastChange(const Member& member) const;
    const ReceivedHeartbeat* findHeartbeat(const ProcessId& process) const;

    bool hasLeft(const ProcessId& process) const;

    void removeGoneMembers();
    void applyMemberStates();
    void changeMembers();
    bool addSelf();
    bool addJoiningMember();
    void removeUnresponsiveMember();

    void assignHomes();
    void rebalanceHomes(const std::vector<HostId>& candidates);
    void assignHome(const BackendServerId& server, HomeAssignment& home,
        const std::vector<HostId>& candidates) const;
    std::vector<HostId> listCandidates() const;
    bool isConfirmed(const ProcessId& process, const BackendServerId& server,
        ObjectVersion since) const;
    void clearConfirmed(const BackendServerId& server, HomeAssignment& home) const;
    void removeUndeclaredServers();
    void evictRemovedMembers();

    const CellPlanInputs& m_inputs;
    CellState m_next;
};

}
