#pragma once

#include "libapricot/cellstate.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// A process that was home of a replica before and has not confirmed that it stopped.
struct Predecessor {
    HostId host;
    std::string incarnation;

    auto operator<=>(const Predecessor&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(host, incarnation); }
};

// Predecessors that an assignment names. The home itself is none: it counts its own calls.
std::vector<Predecessor> predecessorsOf(const HomeAssignment& assignment);

struct TakeoverOptions {
    // Longest time for which a process may start work after its last evidence.
    Duration evidenceTime = Milliseconds(3000);
    // Time for a server to notice closed connections.
    Duration drainTime = Milliseconds(300);
    // Longest time that one attempt runs on a server.
    Duration longestAttempt = Milliseconds(10000);

    auto operator<=>(const TakeoverOptions&) const = default;
};

// States of the take-over from one predecessor, in docs/DESIGN.md "Who keeps the cap".

// Until more than half of the members know the new epoch.
struct AwaitingMajority {
    auto operator<=>(const AwaitingMajority&) const = default;
};

// Until the predecessor's permission to start work has lapsed.
struct AwaitingLeaseExpiry {
    TimePoint until;
    auto operator<=>(const AwaitingLeaseExpiry&) const = default;
};

// Until everything that the predecessor started has ended.
struct AwaitingLongestAttempt {
    TimePoint until;
    auto operator<=>(const AwaitingLongestAttempt&) const = default;
};

// The predecessor may still send one request that it had checked before it froze.
struct OneRequestReserved {
    auto operator<=>(const OneRequestReserved&) const = default;
};

// The predecessor's process is gone; the server has to notice its closed connections. How many of
// them there can be is known when the predecessor had handed over or could send only one request.
struct AwaitingDrain {
    TimePoint goneAt;
    std::optional<int> inFlight;
    auto operator<=>(const AwaitingDrain&) const = default;
};

// The predecessor has stopped starting work and told how much of it still runs.
struct HandedOver {
    int inFlight = 0;
    auto operator<=>(const HandedOver&) const = default;
};

// Nothing of the predecessor can be on the server.
struct Released {
    auto operator<=>(const Released&) const = default;
};

using PredecessorState = std::variant<AwaitingMajority, AwaitingLeaseExpiry, AwaitingLongestAttempt,
    OneRequestReserved, AwaitingDrain, HandedOver, Released>;

// Time in which one process is home of a replica, and its take-over from every predecessor. Says how
// much of the server's cap has to be left free for work that is not this home's own.
class HomeTakeover {
public:
    // Besides the named predecessors there may have been one whose process was gone already when the
    // writer assigned the replica; its connections are always given time to be noticed.
    HomeTakeover(
        TakeoverOptions options, const std::vector<Predecessor>& predecessors, TimePoint now);

    // More than half of the members have acknowledged the epoch of this tenure.
    void onEpochAcknowledged(TimePoint now);
    // The predecessor's process has ended.
    void onPredecessorGone(const Predecessor& predecessor, TimePoint now);
    // The cell no longer names any predecessor: every one that it named is gone, confirmed to the
    // writer, or taken out by the operators.
    void onCellConfirmed(TimePoint now);
    // The predecessor starts nothing more. It names its own predecessors that are still unresolved.
    void onPredecessorStopped(
        const Predecessor& predecessor, int inFlight, const std::vector<Predecessor>& unresolved,
        TimePoint now);
    // Adds predecessors that another tenure has not resolved.
    void addUnresolved(const std::vector<Predecessor>& predecessors, TimePoint now);
    // The server answered a question that was asked at a certain time.
    void onServerResponded(TimePoint requestSentAt);
    // Lets waiting times end.
    void advance(TimePoint now);

    // Requests for which the cap must be left free; nothing while no request may start.
    std::optional<int> reservedCapacity() const;
    // Whether no predecessor can give an order any more.
    bool arePredecessorsStopped() const;
    // Predecessors for which something has still to be left free. One that is gone and has no name is
    // among them, so that a hand-over doesn't forget its connections.
    std::vector<Predecessor> unresolved() const;
    // Predecessors that should be asked whether they stopped.
    std::vector<Predecessor> unconfirmed() const;
    // When a start may become possible, if that is only a matter of time.
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
