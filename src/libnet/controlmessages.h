#pragma once

#include "libapricot/cellheartbeat.h"
#include "libapricot/configstore.h"

#include <vector>

namespace Apricot {

// Heartbeat between two members of a cell.
struct HeartbeatMessage {
    CellHeartbeat heartbeat;

    template <typename Archive>
    void serialize(Archive& archive) { archive(heartbeat); }
};

struct HeartbeatResponseMessage {
    CellHeartbeatResponse response;

    template <typename Archive>
    void serialize(Archive& archive) { archive(response); }
};

// Revision up to which the sender of a request has the configuration under a prefix.
struct PrefixRevision {
    std::string prefix;
    ObjectVersion revision = 0;

    auto operator<=>(const PrefixRevision&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(prefix, revision); }
};

// Returns the revisions of a store, for use in a request.
std::vector<PrefixRevision> prefixRevisions(const ConfigStore& store);

// Member to member: requests the changes of the configuration since these revisions.
struct ConfigRequestMessage {
    std::vector<PrefixRevision> revisions;

    template <typename Archive>
    void serialize(Archive& archive) { archive(revisions); }
};

struct ConfigResponseMessage {
    std::vector<ConfigDelta> deltas;

    template <typename Archive>
    void serialize(Archive& archive) { archive(deltas); }
};

// Entry host to the dispatch daemon of its host: requests the control snapshot. The response follows
// as soon as there is newer state than this, at the latest after `wait`, so that the permission is
// renewed.
struct ViewRequestMessage {
    std::vector<PrefixRevision> revisions;
    ObjectVersion catalogueVersion = 0;
    ObjectVersion epoch = 0;
    Milliseconds wait { 0 };

    template <typename Archive>
    void serialize(Archive& archive) { archive(revisions, catalogueVersion, epoch, wait); }
};

// The permission counts from the time before the request was sent, so that no delay extends it.
struct ViewResponseMessage {
    Member self;
    ObjectVersion epoch = 0;
    ObjectVersion acknowledgedEpoch = 0;
    // State of the epoch; empty unless it is newer than the requester's.
    std::vector<CellState> newerState;
    std::vector<ConfigDelta> deltas;
    Milliseconds permittedFor { 0 };

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(self, epoch, acknowledgedEpoch, newerState, deltas, permittedFor);
    }
};

}
