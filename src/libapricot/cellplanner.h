#pragma once

#include "libapricot/cellheartbeat.h"
#include "libapricot/peercontacts.h"

#include <map>
#include <memory>
#include <optional>

namespace Apricot {

// A question that the writer received, kept until the next write.
struct ReceivedHeartbeat {
    CellHeartbeat heartbeat;
    TimePoint receivedAt {};

    auto operator<=>(const ReceivedHeartbeat&) const = default;
};

// Everything that the writer of a cell weighs when it makes the next state.
struct CellPlanInputs {
    const CellState& current;
    // Version of the current state, on which the write is conditional.
    ObjectVersion epoch = 0;
    const Member& self;
    const PeerContacts& contacts;
    const std::map<HostId, ReceivedHeartbeat>& heartbeats;
    // Nothing while the configuration has not been read; homes are not assigned then.
    std::shared_ptr<const Catalogue> catalogue;
    TimePoint now {};
    // A member that answered nothing asked for so long may be removed.
    Milliseconds removalTime { 4000 };
    // Instant before which the writer was not asking its peers.
    TimePoint pollingSince {};
};

// Makes the next state of a cell. Members that are known gone or have left are dropped at once. Joins
// and removals of silent members come one in a write, and only when more than half of the members
// know the last one, so that the majorities of any two successive member sets share a member. A
// replica keeps its home while that process is a live member, but for a few in each write that move to
// the host that comes first for them.
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
