#pragma once

#include "libserving/rollout/rolloutassessment.h"
#include "libserving/rollout/rolloutorder.h"

namespace Apricot {

struct RolloutPlanOptions {
    // Share of the time limit for which a trial goes on at least. Some faults begin only after a while.
    double trialTimeShare = 0.5;
    // Share of the time limit after which a trial with little evidence ends.
    double maxTrialTimeShare = 0.6;
    // Answers of the target version that a trial needs.
    std::uint32_t minTrialAnswers = 40;
    // Share of the hosts that have to have reported for a step forward. A host that is cut off from the others must not
    // take one with what it saw by itself.
    double minReportingShare = 0.5;
    // Time between the last write and the time limit, for a store that is slow.
    Milliseconds writeMargin { 1500 };
    // Time from the shift in which hosts hear of it, at the latest.
    Milliseconds shiftNoticeTime { 4000 };
    RolloutAssessmentOptions assessment = {};
    // Applies to the last seconds of a shift. No replaced version serves beside the target then, so that a crash of many
    // servers at a time must not look like a fault of the version.
    RolloutAssessmentOptions shiftAssessment { .failureMargin = 0.15, .minFailures = 12, .minFailedServers = 3 };
};

// What the acting host knows of a roll-out when it decides about its next step.
struct RolloutFacts {
    StoredRollout stored;
    // Time since the order.
    Milliseconds elapsed { 0 };
    // Time since the shift began.
    Milliseconds sinceShift { 0 };
    bool isPoolKnown = true;
    std::size_t targetServers = 0;
    // Versions of the other servers that are not draining.
    std::set<SoftwareVersion> otherVersions;
    // Hosts that the store lists, and those whose reports the evidence holds.
    std::size_t hosts = 0;
    std::size_t reportingHosts = 0;
    // Hosts that reported that they direct all requests to the target.
    std::size_t shiftedHosts = 0;
    // Requests that run at servers of replaced versions, as far as hosts reported.
    std::size_t inFlightAtReplaced = 0;
    RolloutEvidence evidence;
    // Evidence of the last seconds.
    RolloutEvidence recentEvidence;
    // Why a host has kept requests from the target.
    std::optional<std::string> fault;
};

// Returns the status to write next, or nothing to wait. The store accepts it only if nothing else was written since
// `facts.stored` was read.
std::optional<RolloutStatus> planRollout(
    const RolloutFacts& facts, std::int64_t unixNow, const RolloutPlanOptions& options = {});

// Why the evidence speaks against the target version, if it does.
std::optional<std::string> findFault(const RolloutFacts& facts, const RolloutPlanOptions& options = {});

}
