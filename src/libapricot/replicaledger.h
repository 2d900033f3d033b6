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

// The properties of a call that decide whether and when it gets a slot.
struct SlotRequest {
    ServiceClass serviceClass = ServiceClass::Standard;
    Duration budget {};
    bool isExclusive = false;
};

// The call has a slot and should be sent if confirmStart() permits it.
struct StartAction {
    CallNumber number = 0;
    auto operator<=>(const StartAction&) const = default;
};

// The call gets no slot; no part of it was sent.
struct RejectAction {
    CallNumber number = 0;
    Milliseconds retryAfter { 0 };
    auto operator<=>(const RejectAction&) const = default;
};

using LedgerAction = std::variant<StartAction, RejectAction>;
using LedgerActions = std::vector<LedgerAction>;

// Content of a /health response of a server. The numbers may be out of date; only a change of the
// incarnation has an effect.
struct ServerReport {
    std::string incarnation;
    int inFlight = 0;
    std::uint64_t completed = 0;

    auto operator<=>(const ServerReport&) const = default;
};

// State of one replica's server as its home knows it, and all decisions about sending to the
// server: which call starts next, which is rejected, and how many requests may be on the server at
// once. Methods that change the state take the current time and return the actions that follow.
class ReplicaLedger {
public:
    explicit ReplicaLedger(ReplicaLedgerOptions options);

    // Applies the newest control snapshot: begins or ends the time in which this process is home,
    // and rejects waiting calls that can no longer start here.
    LedgerActions onView(const ControlView& view, const BackendServerId& server, TimePoint now);
    // Requests a slot for a call. The call starts, waits or is rejected.
    LedgerActions submit(CallNumber number, const SlotRequest& request, TimePoint now);
    // Last check before a call is sent. If it returns true, the call counts as sent; otherwise its
    // slot is released.
    bool confirmStart(CallNumber number, const ControlView& view, const BackendServerId& server,
        TimePoint now);

    // The server finished the call.
    LedgerActions onFinished(CallNumber number, TimePoint now);
    // The server responded that it accepts no more requests.
    LedgerActions onRefused(CallNumber number, TimePoint now);
    // The server ended the call without a result.
    LedgerActions onFailed(CallNumber number, TimePoint now);
    // The home closed the call's connection. The server may continue the work until it notices.
    LedgerActions onCancelled(CallNumber number, TimePoint now);
    // The call's connection broke, possibly because the server crashed, so the server counts as
    // cold.
    LedgerActions onConnectionLost(CallNumber number, TimePoint now);
    // The server's process is known to have ended together with everything that it was running.
    LedgerActions onServerGone(TimePoint now);
    // One step of the server took the given time. A jump resets the server to cold immediately.
    void onStep(CallNumber number, Duration step);
    // The server responded to a /health request that was sent at the given time.
    LedgerActions onReport(const ServerReport& report, TimePoint requestSentAt, TimePoint now);
    // Handles waiting times that have ended.
    LedgerActions advance(TimePoint now);

    // Ends this process's right to start calls under any assignment older than `since`. Returns the
    // number of requests that may still be on the server.
    int release(ObjectVersion since);
    HomeTakeover* takeover() { return m_takeover ? &*m_takeover : nullptr; }
    const HomeTakeover* takeover() const { return m_takeover ? &*m_takeover : nullptr; }
    // Predecessors that the current or the last take-over by this process has not resolved.
    std::vector<Predecessor> unresolved() const;
    // Epoch of the assignment under which this process is home; zero if it is not home.
    ObjectVersion since() const { return m_since; }
    // Continues with the cap that the predecessor reached with the same process of the server, and
    // with the normal step duration that it observed.
    void inheritCapacity(int cap, Duration normalStepTime, const std::string& serverIncarnation);
    Duration normalStepTime() const { return m_stepBaseline.normal(); }
    // Cap reached through finished work. cap() may be lower for a while.
    int earnedCap() const { return m_capacity.cap(); }
    void setCapacityOptions(ServerCapacityOptions options);

    // Number of requests that are or may be on the server, including slots reserved for calls that
    // are about to be sent.
    int inFlight() const;
    // Maximum number of requests on the server now. After an idle period it is limited to the cold
    // cap until the server has run at its normal speed again, since it may have become cold
    // unnoticed.
    int cap() const;
    bool isCold() const { return m_capacity.isCold(); }
    std::size_t queueLength() const { return m_queue.size(); }
    const std::string& serverIncarnation() const { return m_serverIncarnation; }
    StartCondition condition() const { return m_condition; }
    // Delay after which a rejected call may be retried.
    Milliseconds retryAfter(TimePoint now) const;
    Duration meanServiceTime() const { return m_meanServiceTime; }

private:
    // The slot is reserved, but its call has not passed confirmStart() yet.
    struct Reserved { };
    // The call was sent and has not ended.
    struct Sent {
        TimePoint at;
        std::uint64_t coldStart = 0;
    };
    // The connection is closed, and the server has not been seen to notice.
    struct Closing {
        TimePoint closedAt;
    };

    struct Slot {
        std::variant<Reserved, Sent, Closing> state;
        bool isExclusive = false;
    };

    bool hasCapacity(bool isExclusive) const;
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
    // Whether the server has run at its normal speed since it was last idle.
    bool m_isSpeedConfirmed = false;
    Duration m_meanServiceTime {};
};

}
