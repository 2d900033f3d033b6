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

// Revision up to which the asker knows a prefix of the configuration.
struct PrefixRevision {
    std::string prefix;
    ObjectVersion revision = 0;

    auto operator<=>(const PrefixRevision&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(prefix, revision); }
};

// Revisions that a store knows, for a question.
std::vector<PrefixRevision> prefixRevisions(const ConfigStore& store);

// One member to another: what has changed in the configuration since these revisions?
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

// Entry host to the dispatch daemon of its host: the control snapshot, as soon as more is known than
// this, and at the latest after a while, so that the permission is renewed.
struct ViewRequestMessage {
    std::vector<PrefixRevision> revisions;
    ObjectVersion catalogueVersion = 0;
    ObjectVersion epoch = 0;
    Milliseconds wait { 0 };

    template <typename Archive>
    void serialize(Archive& archive) { archive(revisions, catalogueVersion, epoch, wait); }
};

// What is left of the permission counts from before the question, so that no delay lengthens it.
struct ViewResponseMessage {
    Member self;
    ObjectVersion epoch = 0;
    ObjectVersion acknowledgedEpoch = 0;
    // State of the epoch; empty unless it is newer than the asker's.
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
