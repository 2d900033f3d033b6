#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <map>
#include <set>

namespace Apricot {

// Outcome of a call to a backend server, as evidence of the server's health.
enum class CallOutcome {
    // The server responded; includes error responses marked as its own.
    Responded,
    // The server failed the request.
    Failed,
    // The server refused the request without running it.
    Refused,
    // The connection broke, or the response was malformed.
    Broken,
    // The connection could not be established, or no response arrived in time.
    Unresponsive,
    // The caller disconnected, or the call ended for another reason unrelated to the server.
    Abandoned,
};

struct ServerTrackerOptions {
    // Weight of the newest call in the moving averages.
    double newestCallWeight = 0.15;
    // Share of failed calls above which a server is avoided, once at least `minEndedCalls` calls ended.
    double maxFailureShare = 0.6;
    int minEndedCalls = 4;
    // How long a server is avoided after it was unresponsive or broke two calls in a row. Doubles with each
    // further call without a response, up to the maximum.
    Milliseconds avoidTime { 400 };
    Milliseconds maxAvoidTime { 3000 };
    // How long a server is avoided after it refused a request because it was full.
    Milliseconds refusedAvoidTime { 60 };
};

// Health and load of the backend servers, from the calls of this process.
class ServerTracker {
public:
    explicit ServerTracker(ServerTrackerOptions options = {});

    void onCallStarted(const BackendServerId& id);
    void onCallEnded(const BackendServerId& id, CallOutcome outcome, Duration duration, TimePoint now);

    // Records that a response broke off, or did not end, after its header.
    void onResponseBroken(const BackendServerId& id, TimePoint now);

    // Whether other servers are currently preferred.
    bool isAvoided(const BackendServerId& id, TimePoint now) const;
    // Relative cost of one more call: the product of the mean response time in milliseconds, the calls in
    // flight and the share of failures.
    double cost(const BackendServerId& id) const;
    int inFlight(const BackendServerId& id) const;
    // Removes the statistics of servers that are not listed and have no calls in flight.
    void retain(const std::set<BackendServerId>& listed);

private:
    struct ServerStats {
        int inFlight = 0;
        int endedCalls = 0;
        double failureShare = 0;
        double meanMilliseconds = 0;
        // Broken and timed-out calls since the last response; refusals do not count.
        int callsWithoutResponse = 0;
        TimePoint avoidedUntil {};
    };

    void recordOutcome(ServerStats& stats, CallOutcome outcome, TimePoint now) const;

    ServerTrackerOptions m_options;
    std::map<BackendServerId, ServerStats> m_stats;
};

}
