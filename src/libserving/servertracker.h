#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <map>
#include <set>

namespace Apricot {

// How a call of a backend server ended, as far as it tells of the server.
enum class CallOutcome {
    // An answer of the server's own, also a failure that it signed.
    Answered,
    // The server failed the request.
    Failed,
    // The server refused the request without running it.
    Refused,
    // The connection broke, or what came was no answer.
    Broken,
    // No connection could be made, or nothing came in time.
    Unresponsive,
    // The caller left, or another reason that says nothing of the server.
    Abandoned,
};

struct ServerTrackerOptions {
    // Weight of the newest call in the averages.
    double newestCallWeight = 0.15;
    // Share of failed calls above which a server is avoided, once enough calls ended.
    double maxFailureShare = 0.6;
    int minEndedCalls = 4;
    // How long a server is avoided after it was silent; doubles up to the longest time.
    Milliseconds avoidTime { 400 };
    Milliseconds maxAvoidTime { 3000 };
    // How long a server is avoided that refused as full.
    Milliseconds refusedAvoidTime { 60 };
};

// What this process has seen of the backend servers that it calls.
class ServerTracker {
public:
    explicit ServerTracker(ServerTrackerOptions options = {});

    void onCallStarted(const BackendServerId& id);
    void onCallEnded(const BackendServerId& id, CallOutcome outcome, Duration duration, TimePoint now);

    // Whether other servers go first at present.
    bool isAvoided(const BackendServerId& id, TimePoint now) const;
    // Expected cost of one more call, in milliseconds: time, calls in flight and failures together.
    double cost(const BackendServerId& id) const;
    int inFlight(const BackendServerId& id) const;
    // Forgets servers that are no longer known and have no calls in flight.
    void retain(const std::set<BackendServerId>& listed);

private:
    struct ServerStats {
        int inFlight = 0;
        int endedCalls = 0;
        double failureShare = 0;
        double meanMilliseconds = 0;
        int callsWithoutResponse = 0;
        TimePoint avoidedUntil {};
    };

    void recordOutcome(ServerStats& stats, CallOutcome outcome, TimePoint now) const;

    ServerTrackerOptions m_options;
    std::map<BackendServerId, ServerStats> m_stats;
};

}
