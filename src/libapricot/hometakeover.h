#pragma once

#include "libapricot/cellstate.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// An earlier home of a replica that has not confirmed that it stopped.
struct Predecessor {
    HostId host;
    std::string incarnation;

    auto operator<=>(const Predecessor&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(host, incarnation); }
};

// Predecessors named by an assignment. The home itself is not one of them: it counts its own calls.
std::vector<Predecessor> predecessorsOf(const HomeAssignment& assignment);

struct TakeoverOptions {
    // Maximum time for which a process may start work after its last evidence.
    Duration evidenceTime = Milliseconds(3000);
    // Time that a server needs to notice closed connections.
    Duration drainTime = Milliseconds(300);
    // Maximum duration of one attempt on a server.
    Duration longestAttempt = Milliseconds(10000);

    auto operator<=>(const TakeoverOptions&) const = default;
};

// States of the take-over from one predecessor; see docs/DESIGN.md, "Who keeps the cap".

// Waits until more than half of the members know the new epoch.
struct AwaitingMajority {
    auto operator<=>(const AwaitingMajority&) const = default;
};

// Waits until the predecessor's permission to start work has expired.
struct AwaitingLeaseExpiry {
    TimePoint until;
    auto operator<=>(const AwaitingLeaseExpiry&) const = default;
};

// Waits until everything that the predecessor started has ended.
struct AwaitingLongestAttempt {
    TimePoint until;
    auto operator<=>(const AwaitingLongestAttempt&) const = default;
};

// The predecessor may still send one request that passed its last check before the process stalled.
struct OneRequestReserved {
    auto operator<=>(const OneRequestReserved&) const = default;
};

// The predecessor's process is gone, but the server has yet to notice that its connections are
// closed. Their maximum number is known if the predecessor had handed over or could send only one
// request.
struct AwaitingDrain {
    TimePoint goneAt;
    std::optional<int> inFlight;
    auto operator<=>(const AwaitingDrain&) const = default;
};

// The predecessor has stopped starting work and reported how many of its requests are still
// running.
struct HandedOver {
    int inFlight = 0;
    auto operator<=>(const HandedOver&) const = default;
};

// No request of the predecessor can be on the server.
struct Released {
    auto operator<=>(const Released&) const = default;
};

using PredecessorState = std::variant<AwaitingMajority, AwaitingLeaseExpiry, AwaitingLongestAttempt,
    OneRequestReserved, AwaitingDrain, HandedOver, Released>;

// Take-over of a replica by its new home from all predecessors. Determines how much of the server's
// cap must stay reserved for requests that are not the home's own.
class HomeTakeover {
public:
    // In addition to the named predecessors there may have been one whose process was already gone
    // when the writer assigned the replica. The server is always given time to notice that its
    // connections are closed.
    HomeTakeover(
        TakeoverOptions options, const std::vector<Predecessor>& predecessors, TimePoint now);

    // More than half of the members have acknowledged the epoch of the assignment.
    void onEpochAcknowledged(TimePoint now);
    // The predecessor's process has ended.
    void onPredecessorGone(const Predecessor& predecessor, TimePoint now);
    // The cell no longer names any predecessor: each one is gone, has confirmed to the writer that
    // it stopped, or was taken out of service by the operators.
    void onCellConfirmed(TimePoint now);
    // The predecessor starts no more work. It also reports which of its own predecessors are
    // unresolved.
    void onPredecessorStopped(
        const Predecessor& predecessor, int inFlight, const std::vector<Predecessor>& unresolved,
        TimePoint now);
    // Adds predecessors that an earlier take-over has not resolved.
    void addUnresolved(const std::vector<Predecessor>& predecessors, TimePoint now);
    // The server responded to a request that was sent at the given time.
    void onServerResponded(TimePoint requestSentAt);
    // Advances the states whose waiting time has ended.
    void advance(TimePoint now);

    // Number of requests for which the cap must stay reserved; nullopt while no request may start.
    std::optional<int> reservedCapacity() const;
    // Whether no predecessor can send orders any more.
    bool haveAllPredecessorsStopped() const;
    // Predecessors for which capacity must still be reserved. Includes the unnamed one, so that a
    // hand-over accounts for its connections.
    std::vector<Predecessor> unresolved() const;
    // Predecessors that must still be asked whether they have stopped.
    std::vector<Predecessor> unconfirmed() const;
    // Earliest time at which a request may start; nullopt if that does not depend on time alone.
    std::optional<TimePoint> earliestStart() const;
    const TakeoverOptions& options() const { return m_options; }

private:
    struct Entry {
        Predecessor predecessor;
        PredecessorState state;
        // Whether the cell's assignment named it, rather than another predecessor.
        bool isNamedByCell = false;
    };

    Entry* find(const Predecessor& predecessor);
    void add(const Predecessor& predecessor, TimePoint now);

    TakeoverOptions m_options;
    std::vector<Entry> m_entries;
};

}
