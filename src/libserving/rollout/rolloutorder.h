#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Apricot {

// An operator's order to move the requests of a pool to the servers of one software version.
struct RolloutOrder {
    PoolId pool;
    SoftwareVersion target;
    // Time within which the roll-out is to be completed or reverted.
    Milliseconds timeLimit { 0 };

    auto operator<=>(const RolloutOrder&) const = default;
};

enum class RolloutState {
    InProgress,
    Completed,
    Reverted,
};

// Steps of a roll-out in progress.
enum class RolloutPhase {
    // A small share of the requests goes to a few servers of the target version.
    Trial,
    // All new requests go to the target version, after a short ramp; what runs at other versions ends.
    Shift,
};

const char* rolloutStateName(RolloutState state);
const char* rolloutPhaseName(RolloutPhase phase);

// What the system has stored about an order. Completed and reverted are final.
struct RolloutStatus {
    RolloutOrder order;
    RolloutState state = RolloutState::InProgress;
    RolloutPhase phase = RolloutPhase::Trial;
    std::string reason;
    // Unix time in milliseconds at which the first host recorded the order.
    std::int64_t startedAt = 0;
    // Versions that the target replaces.
    std::set<SoftwareVersion> replaced;

    auto operator<=>(const RolloutStatus&) const = default;
};

// An order as the store holds it, with the status that belongs to it.
struct StoredRollout {
    RolloutOrder order;
    // Not set before the system has recorded the order; the status of an earlier order is left out.
    std::optional<RolloutStatus> status;
    // Version of the object, on which the next write is conditional.
    std::uint64_t revision = 0;

    auto operator<=>(const StoredRollout&) const = default;

    bool isEnded() const { return status && status->state != RolloutState::InProgress; }
    bool isShifting() const
    {
        return status && status->state == RolloutState::InProgress && status->phase == RolloutPhase::Shift;
    }
};

}
