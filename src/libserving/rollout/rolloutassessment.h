#pragma once

#include "libserving/rollout/rolloutevidence.h"

#include <optional>
#include <string>

namespace Apricot {

struct RolloutAssessmentOptions {
    // Standard errors by which the target has to be worse for a finding. Roll-outs are assessed twice a second on
    // several routes, so a usual confidence level would find faults in one good version out of a few.
    double targetErrors = 3.0;
    double replacedErrors = 2.0;
    // Share of failures beyond that of the replaced versions which callers are expected to bear for a moment: that of
    // servers that crash or are unreachable and happen to be of the target version.
    double failureMargin = 0.06;
    // Fewest failures, and servers that failed, that show a fault of the version and not of one server.
    std::uint32_t minFailures = 4;
    int minFailedServers = 2;
    // Answers slower than this share of those of the replaced versions count as slow.
    double fastShare = 0.9;
    // Share of slow answers at the target, beyond twice that of the replaced versions, that is due to servers whose
    // caches are empty.
    double slowMargin = 0.12;
    // A slow answer takes this many times as long, in buckets of duration, as the slow ones of the replaced versions.
    std::size_t slowBuckets = 1;
    // Fewest answers from which durations are compared.
    std::uint32_t minDurations = 12;
};

// Returns why a target version serves callers worse than the versions that it replaces served them in the same time and
// on the same routes, or nothing if the evidence does not show that. Failures and slowness that befall both alike, such
// as overload, lost links or an outage of the store, are no evidence.
std::optional<std::string> findRolloutFault(
    const RolloutEvidence& evidence, const RolloutAssessmentOptions& options = {});

}
