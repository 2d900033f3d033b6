#pragma once

#include "libapricot/servercrash.h"
#include "libnet/httpclient.h"
#include "libnet/httpserver.h"
#include "libserving/callerrequest.h"
#include "libserving/servingconfig.h"

#include <memory>
#include <vector>

namespace Apricot {

// Why a request ended before its response was complete.
enum class ScopeEndReason {
    None,
    CallerDisconnected,
    TimedOut,
    // This host is stopping, and the request has not been sent to a server yet.
    Stopping,
};

// The calls made for one caller's request. They are cancelled together when the caller disconnects or
// its deadline passes.
class RequestScope {
public:
    void end(ScopeEndReason reason);
    ScopeEndReason endReason() const { return m_endReason; }
    bool isOver() const { return m_endReason != ScopeEndReason::None; }
    // Marks that a server whose response goes to the caller may have received the request.
    void markSent() { m_isSent = true; }
    bool isSent() const { return m_isSent; }
    // Returns the cancellation handle for a new call; it is already cancelled if the scope has ended.
    std::shared_ptr<HttpCancel> addCall();

private:
    ScopeEndReason m_endReason = ScopeEndReason::None;
    bool m_isSent = false;
    std::vector<std::weak_ptr<HttpCancel>> m_calls;
};

// A caller's request that passed the initial checks, with its route, pool and deadlines.
struct ServedRequest {
    HttpExchange& exchange;
    CallerRequest caller;
    // Keeps the route alive.
    std::shared_ptr<const ServingConfig> config;
    const Route& route;
    PoolId pool;
    OwnerId owner;
    // Identifies the request beyond this attempt of its caller.
    Fingerprint fingerprint = 0;
    // What crashes of servers count against: the request itself, then the shared parts of its prompt.
    std::vector<PoisonSubject> subjects;
    // The subjects that would be refused if this were not their probation run; see PoisonTable.
    std::vector<PoisonSubject> probation;
    int rank = 0;
    TimePoint arrivedAt {};
    // When the request misses its objective, and when its caller stops waiting.
    TimePoint objectiveAt {};
    TimePoint deadlineAt {};
    // When the caller stops waiting for the first event of a stream.
    TimePoint firstEventDeadline {};
    std::shared_ptr<RequestScope> scope = std::make_shared<RequestScope>();

    // Whether the request itself, not only a part of its prompt, has its probation run.
    bool isProbation() const { return !probation.empty() && !probation.front().isPart(); }

    Milliseconds timeLeft(TimePoint now) const
    {
        return std::chrono::floor<Milliseconds>(deadlineAt - now);
    }
};

}
