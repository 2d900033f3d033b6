#include "libserving/rollout/rolloutplan.h"

namespace Apricot {

namespace {

    std::optional<RolloutStatus> withState(const RolloutFacts& facts, RolloutState state, std::string reason)
    {
        RolloutStatus status = *facts.stored.status;
        status.state = state;
        status.reason = std::move(reason);
        status.replaced.insert(facts.otherVersions.begin(), facts.otherVersions.end());
        status.replaced.erase(facts.stored.order.target);
        return status;
    }

    Milliseconds shareOf(Milliseconds time, double share)
    {
        return Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(time.count()) * share));
    }

    bool isRepresentative(const RolloutFacts& facts, const RolloutPlanOptions& options)
    {
        return static_cast<double>(facts.reportingHosts)
            >= options.minReportingShare * static_cast<double>(facts.hosts);
    }

    std::optional<RolloutStatus> planStart(const RolloutFacts& facts, std::int64_t unixNow)
    {
        RolloutStatus status { .order = facts.stored.order,
            .startedAt = unixNow - facts.elapsed.count(),
            .replaced = facts.otherVersions };
        if (facts.stored.order.timeLimit.count() <= 0) {
            status.state = RolloutState::Reverted;
            status.reason = "the time limit is not positive";
        } else if (!facts.isPoolKnown) {
            status.state = RolloutState::Reverted;
            status.reason = "the configuration names no such pool";
        } else if (facts.targetServers > 0 && facts.otherVersions.empty()) {
            status.state = RolloutState::Completed;
            status.reason = "all servers of the pool have the target version";
        } else {
            status.reason = "the trial has begun";
        }
        return status;
    }

    std::optional<RolloutStatus> planTrial(const RolloutFacts& facts, const RolloutPlanOptions& options)
    {
        const Milliseconds limit = facts.stored.order.timeLimit;
        const RouteEvidence total = facts.evidence.total();
        if (facts.targetServers == 0) {
            if (facts.elapsed + options.writeMargin < limit)
                return std::nullopt;
            return withState(facts, RolloutState::Reverted, "the target version has no servers");
        }
        if (facts.otherVersions.empty())
            return withState(facts, RolloutState::Completed, "no other version is left");
        if (facts.elapsed < shareOf(limit, options.trialTimeShare))
            return std::nullopt;
        if (!isRepresentative(facts, options))
            return std::nullopt;
        const bool isProven = total.target.answers >= options.minTrialAnswers;
        if (!isProven && facts.elapsed < shareOf(limit, options.maxTrialTimeShare))
            return std::nullopt;
        // Requests were served, but none by the target version, so nothing speaks for it.
        if (total.target.answers == 0 && total.replaced.answers > 0) {
            if (facts.elapsed + options.writeMargin < limit)
                return std::nullopt;
            return withState(facts, RolloutState::Reverted, "the target version answered no request");
        }
        auto status = withState(facts, RolloutState::InProgress,
            "the trial found no fault in " + std::to_string(total.target.answers) + " answers");
        status->phase = RolloutPhase::Shift;
        return status;
    }

    std::optional<RolloutStatus> planShift(const RolloutFacts& facts, const RolloutPlanOptions& options)
    {
        if (facts.targetServers == 0) {
            if (facts.elapsed < facts.stored.order.timeLimit)
                return std::nullopt;
            return withState(facts, RolloutState::Reverted, "the target version has no servers any more");
        }
        const bool isLeft = facts.inFlightAtReplaced == 0 && facts.sinceShift >= options.shiftNoticeTime
            && facts.shiftedHosts >= facts.hosts;
        // Hosts that are gone never report, so the time limit ends the wait for them.
        const bool isTimeOver = facts.elapsed + options.writeMargin >= facts.stored.order.timeLimit
            && facts.sinceShift >= options.shiftNoticeTime / 2;
        if (!isRepresentative(facts, options) || (!isLeft && !isTimeOver))
            return std::nullopt;
        return withState(facts, RolloutState::Completed,
            isLeft ? "all hosts have left the replaced versions"
                   : "the time limit; " + std::to_string(facts.inFlightAtReplaced)
                    + " requests run at replaced versions");
    }

}

std::optional<std::string> findFault(const RolloutFacts& facts, const RolloutPlanOptions& options)
{
    if (facts.fault)
        return facts.fault;
    if (!facts.stored.isShifting())
        return findRolloutFault(facts.evidence, options.assessment);
    return findRolloutFault(facts.recentEvidence, options.shiftAssessment);
}

std::optional<RolloutStatus> planRollout(
    const RolloutFacts& facts, std::int64_t unixNow, const RolloutPlanOptions& options)
{
    if (!facts.stored.status)
        return planStart(facts, unixNow);
    if (facts.stored.isEnded())
        return std::nullopt;
    if (auto fault = findFault(facts, options))
        return withState(facts, RolloutState::Reverted, std::move(*fault));
    return facts.stored.isShifting() ? planShift(facts, options) : planTrial(facts, options);
}

}
