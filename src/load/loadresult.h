#pragma once

#include "libapricot/clock.h"
#include "libapricot/stagecall.h"

#include <string>
#include <vector>

namespace Apricot {

// How a request ended for its caller.
enum class RequestOutcome {
    InTime,
    Late,
    Refused,
    // The stream ended or broke without a last mark.
    Lost,
    // Whole, but not the answer to this input.
    Wrong,
    Failed,
};

// One request as its caller saw it. Times count from its planned moment, so that a driver that falls
// behind doesn't hide a delay.
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
