#pragma once

#include "libnet/httpclient.h"
#include "libnet/httpserver.h"
#include "libserving/callerrequest.h"
#include "libserving/servingconfig.h"

#include <memory>
#include <vector>

namespace Apricot {

// Why a request ended before its answer did.
enum class ScopeEndReason {
    None,
    CallerDisconnected,
    TimedOut,
    // This host stops, and nothing has been sent to a server yet.
    Stopping,
};

// The calls that are made for one caller's request. When the caller leaves or its time is up, all of
// them are cancelled.
class RequestScope {
public:
    void end(ScopeEndReason reason);
    ScopeEndReason endReason() const { return m_endReason; }
    bool isOver() const { return m_endReason != ScopeEndReason::None; }
    // A server that answers the caller may have got the request.
    void markSent() { m_isSent = true; }
    bool isSent() const { return m_isSent; }
    // A handle for a call to be made; already cancelled when the scope has ended.
    std::shared_ptr<HttpCancel> addCall();

private:
    ScopeEndReason m_endReason = ScopeEndReason::None;
    bool m_isSent = false;
    std::vector<std::weak_ptr<HttpCancel>> m_calls;
};

// A caller's request that passed the first checks, with what was decided for it.
struct ServedRequest {
    HttpExchange& exchange;
    CallerRequest caller;
    // Keeps the route alive.
    std::shared_ptr<const ServingConfig> config;
    const Route& route;
    PoolId pool;
    OwnerId owner;
    int rank = 0;
    TimePoint arrivedAt {};
    // When the objective is missed, and when the caller leaves.
    TimePoint objectiveAt {};
    TimePoint deadlineAt {};
    // When the caller leaves a stream that has not begun.
    TimePoint firstEventDeadline {};
    std::shared_ptr<RequestScope> scope = std::make_shared<RequestScope>();

    Milliseconds timeLeft(TimePoint now) const
    {
        return std::chrono::floor<Milliseconds>(deadlineAt - now);
    }
};

}
