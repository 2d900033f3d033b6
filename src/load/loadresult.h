#pragma once

#include "libapricot/clock.h"
#include "libapricot/stagecall.h"

#include <string>
#include <vector>

namespace Apricot {

// Outcome of a request for its caller.
enum class RequestOutcome {
    InTime,
    Late,
    Refused,
    // The event stream ended or broke before it was complete, or had gaps or duplicate tokens.
    Lost,
    // The response was complete, but its tokens are not the expected ones for the input.
    Wrong,
    Failed,
};

// Result of one request as seen by its caller. Times are measured from its planned arrival, so that a
// delay is not hidden when the load driver falls behind.
struct RequestResult {
    std::size_t itemIndex = 0;
    Duration plannedAt {};
    RequestOutcome outcome = RequestOutcome::Failed;
    Duration latency {};
    Duration firstTokenDelay {};
    std::vector<Duration> tokenGaps;
    // Time from each send to its refusal.
    std::vector<Duration> refusalTimes;
    int duplicateTokens = 0;
    int sends = 0;
    std::string refusalReason;
    std::string ran;
    std::vector<StageCost> costs;
};

}
