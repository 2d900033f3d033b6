#pragma once

#include "libapricot/cellstate.h"

#include <vector>

namespace Apricot {

// What a daemon requests from the cell's writer.
enum class MembershipIntent {
    // Be a member in the state given by the heartbeat.
    Stay,
    // Be removed: the daemon has stopped and is no longer home of any replica.
    Leave,
};

// Report of the traffic threads of a daemon about the replicas that it was home of.
struct HomeReport {
    // Epoch applied by the homes.
    ObjectVersion appliedEpoch = 0;
    // Servers with calls of this daemon in flight.
    std::vector<BackendServerId> busyServers;

    auto operator<=>(const HomeReport&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(appliedEpoch, busyServers); }
};

// Heartbeat from one daemon to another. Sender and recipient are identified by process, not only by
// host.
struct CellHeartbeat {
    Member sender;
    MembershipIntent intent = MembershipIntent::Stay;
    // Epoch known to the sender. The response contains the cell state only if its epoch is newer.
    ObjectVersion epoch = 0;
    HomeReport homes;

    auto operator<=>(const CellHeartbeat&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(sender, intent, epoch, homes); }
};

// Proof that a version of the cell's object was the newest one at a time `age` ago.
struct EvidenceProof {
    ObjectVersion version = 0;
    Milliseconds age { 0 };

    auto operator<=>(const EvidenceProof&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(version, age); }
};

// Response to a heartbeat.
struct CellHeartbeatResponse {
    HostId host;
    std::string incarnation;
    ObjectVersion epoch = 0;
    // Cell state of that epoch; empty unless the epoch is newer than that of the heartbeat.
    std::vector<CellState> newerState;
    // Newest proof that the daemon has; empty if it has none.
    std::vector<EvidenceProof> proof;
    // Revision up to which the daemon knows the configuration.
    ObjectVersion configRevision = 0;

    auto operator<=>(const CellHeartbeatResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, incarnation, epoch, newerState, proof, configRevision);
    }
};

}
