#pragma once

#include "libapricot/cellstate.h"

#include <vector>

namespace Apricot {

// What a daemon wants of the cell's writer.
enum class MembershipIntent {
    // To be a member in the state that its question gives.
    Stay,
    // To be removed: it has stopped and holds no replica any more.
    Leave,
};

// What the traffic threads of a daemon report of the replicas that it was home of.
struct HomeReport {
    // Epoch that the homes act on.
    ObjectVersion appliedEpoch = 0;
    // Servers with calls of this daemon in flight.
    std::vector<BackendServerId> busyServers;

    auto operator<=>(const HomeReport&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(appliedEpoch, busyServers); }
};

// Heartbeat from one daemon to another. Both sides are named by the process, not only the host.
struct CellHeartbeat {
    Member sender;
    MembershipIntent intent = MembershipIntent::Stay;
    // Epoch that the asker knows; the answer carries the cell's state only if it is newer.
    ObjectVersion epoch = 0;
    HomeReport homes;

    auto operator<=>(const CellHeartbeat&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(sender, intent, epoch, homes); }
};

// Proof that a version of the cell's object was the newest at an instant so long ago.
struct EvidenceProof {
    ObjectVersion version = 0;
    Milliseconds age { 0 };

    auto operator<=>(const EvidenceProof&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(version, age); }
};

// Answer to a heartbeat.
struct CellHeartbeatResponse {
    HostId host;
    std::string incarnation;
    ObjectVersion epoch = 0;
    // State of that epoch; empty unless it is newer than the asker's.
    std::vector<CellState> newerState;
    // Newest proof that the daemon holds; empty when it holds none.
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
