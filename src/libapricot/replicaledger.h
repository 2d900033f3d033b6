#pragma once

#include "libapricot/hometakeover.h"
#include "libapricot/latencybaseline.h"
#include "libapricot/servercapacity.h"
#include "libapricot/startcondition.h"
#include "libapricot/startqueue.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

struct ReplicaLedgerOptions {
    ServerCapacityOptions capacity;
    std::size_t queueLimit = 64;
    TakeoverOptions takeover;

    auto operator<=>(const ReplicaLedgerOptions&) const = default;
};

// A call that asks for a place, as far as the decision needs it.
struct SlotRequest {
    ServiceClass serviceClass = ServiceClass::Standard;
    Duration budget {};
    bool alone = false;
};

// The call has a place and should be sent, through confirmStart().
struct StartAction {
    CallNumber number = 0;
    auto operator<=>(const StartAction&) const = default;
};

// The call gets no place; nothing of it was sent.
struct RejectAction {
    CallNumber number = 0;
    Milliseconds retryAfter { 0 };
    auto operator<=>(const RejectAction&) const = default;
};

using LedgerAction = std::variant<StartAction, RejectAction>;
using LedgerActions = std::vector<LedgerAction>;

// What /health of a server said. The figures may be old; only a change of incarnation decides.
struct ServerReport {
    std::string incarnation;
    int inFlight = 0;
    std::uint64_t completed = 0;

    auto operator<=>(const ServerReport&) const = default;
};

// What the home of one replica knows about its server, and every decision about sending to it: who
// starts next, who is rejected, and how many requests may be on the server at once. Every change is
// a method that takes the time and returns the actions that follow.
class ReplicaLedger {
public:
    explicit ReplicaLedger(ReplicaLedgerOptions options);

    // Applies the newest control snapshot: begins or ends this process's tenure, and rejects
    // waiting calls that can't start here any more.
    LedgerActions onView(const ControlView& view, const BackendServerId& server, TimePoint now);
    // A call asks for a place under this number. It starts, waits or is rejected.
    LedgerActions submit(CallNumber number, const SlotRequest& request, TimePoint now);
    // The last check before the bytes of a call leave. Counts it as sent when it returns true;
    // otherwise gives its place back.
    bool confirmStart(CallNumber number, const ControlView& view, const BackendServerId& server,
        TimePoint now);

    // The server finished the call.
    LedgerActions onFinished(CallNumber number, TimePoint now);
    // The server answered that it takes no more.
    LedgerActions onRefused(CallNumber number, TimePoint now);
    // The server ended the call without a result.
    LedgerActions onFailed(CallNumber number, TimePoint now);
    // The home closed the call's connection. The server may work on until it notices.
    LedgerActions onCancelled(CallNumber number, TimePoint now);
    // The call's connection broke, which may be the sign of a crash: the server counts as cold.
    LedgerActions onConnectionLost(CallNumber number, TimePoint now);
    // The server's process is known to have gone away with everything that it ran.
    LedgerActions onServerGone(TimePoint now);
    // One step of the server took so long. A jump makes the server cold at once.
    void onStep(CallNumber number, Duration step);
    // The server answered /health, which was asked at a certain time.
    LedgerActions onReport(const ServerReport& report, TimePoint requestSentAt, TimePoint now);
    // Lets waiting times pass.
    LedgerActions advance(TimePoint now);

    // Ends this process's right to start under any assignment that is older. Returns the number of
    // requests that may still be on the server.
    int release(ObjectVersion since);
    HomeTakeover* takeover() { return m_takeover ? &*m_takeover : nullptr; }
    const HomeTakeover* takeover() const { return m_takeover ? &*m_takeover : nullptr; }
    // Predecessors that this process has not resolved, in its present or its last tenure.
    std::vector<Predecessor> unresolved() const;
    // Epoch of the assignment under which this process is home; zero when it isn't.
    ObjectVersion since() const { return m_since; }
    // Continues from the cap that the predecessor reached with the server's same process, and from
    // the normal time of a step that it saw.
    void inheritCapacity(int cap, Duration normalStep, const std::string& serverIncarnation);
    Duration normalStep() const { return m_stepBaseline.normal(); }
    // Cap that finished work has earned, which cap() may withhold for a while.
    int earnedCap() const { return m_capacity.cap(); }
    void setCapacityOptions(ServerCapacityOptions options);

    // Requests that are or may be on the server, and places given to calls that are about to leave.
    int inFlight() const;
    // How many requests the server may carry now. After an idle time it is no more than the cold cap
    // until the server has shown its normal pace again, since it can have become cold unnoticed.
    int cap() const;
    bool isCold() const { return m_capacity.isCold(); }
    std::size_t queued() const { return m_queue.size(); }
    const std::string& serverIncarnation() const { return m_serverIncarnation; }
    StartCondition condition() const { return m_condition; }
    // When a rejected call may come back.
    Milliseconds retryAfter(TimePoint now) const;
    Duration meanServiceTime() const { return m_meanServiceTime; }

private:
    // A place that is taken but whose call has not passed its last check.
    struct Reserved { };
    // Sent and not ended.
    struct Sent {
        TimePoint at;
        std::uint64_t coldStart = 0;
    };
    // The connection is closed, and the server has not shown that it noticed.
    struct Closing {
        TimePoint closedAt;
    };

    struct Slot {
        std::variant<Reserved, Sent, Closing> state;
        bool alone = false;
    };

    bool hasCapacity(bool alone) const;
    int countSent() const;
    void startWaiting(LedgerActions& actions);
    void rejectAll(LedgerActions& actions, TimePoint now);
    void rejectExpired(LedgerActions& actions, TimePoint now);
    void beginTakeover(const HomeAssignment& assignment, TimePoint now);
    void endTakeover();
    void resetSpeedWhenIdle();
    void resetToCold();
    void closeSlot(CallNumber number, TimePoint now);
    Duration estimateWait(const WaitingCall& call) const;
    std::optional<Duration> waitForTakeover(TimePoint now) const;
    LedgerActions processQueue(TimePoint now);

    ReplicaLedgerOptions m_options;
    ServerCapacity m_capacity;
    LatencyBaseline m_stepBaseline;
    StartQueue m_queue;
    std::map<CallNumber, Slot> m_slots;
    std::optional<HomeTakeover> m_takeover;
    std::optional<HomeTakeover> m_lastTakeover;
    ObjectVersion m_since = 0;
    ObjectVersion m_releasedUpTo = 0;
    StartCondition m_condition = StartCondition::NotHome;
    std::string m_serverIncarnation;
    // Whether the server has worked at its normal pace since it was last idle.
    bool m_isSpeedConfirmed = false;
    Duration m_meanServiceTime {};
};

}
