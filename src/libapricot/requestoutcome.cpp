// Handling of ended attempts in RequestRecord.
#include "libapricot/requestrecord.h"

#include <algorithm>
#include <numeric>

namespace Apricot {

bool RequestRecord::onAttemptEnded(const StageOutcome& outcome, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    if (!matches(outcome.attempt)) {
        ++m_droppedResponses;
        return false;
    }
    const Attempt attempt = *m_attempt;
    m_attempt.reset();
    m_phase = Phase::Idle;
    const bool finished = outcome.end == StageEndReason::Finished && hasAllTokens(outcome);
    addCost(outcome, !finished);
    if (finished)
        onStageFinished(outcome, context, now, actions);
    else if (outcome.end != StageEndReason::Finished && !outcome.sent)
        onAttemptRejected(outcome, now);
    else
        onAttemptFailed(outcome, attempt, context, now, actions);
    return true;
}

// The reported number of tokens includes those before a resumption of the stage.
bool RequestRecord::hasAllTokens(const StageOutcome& outcome) const
{
    return outcome.tokens == m_tokens.size() || (m_tokens.empty() && outcome.tokens == 1);
}

void RequestRecord::onStageFinished(const StageOutcome& outcome, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    if (m_tokens.empty() && !outcome.result.empty())
        m_tokens.push_back(outcome.result);
    const bool wasLastStage = isLastStage();
    context.poison.recordFinish(stageFingerprint(), now);
    m_copy.results.push_back(StageResult { .stage = stage().name,
        .text = std::accumulate(m_tokens.begin(), m_tokens.end(), std::string()) });
    m_mayHaveSent = true;
    m_copy.maybeSent = true;
    m_nonIdempotentMayHaveSent = m_copy.nonIdempotentStarted;
    if (!wasLastStage)
        resetStage();
    const bool isAbandoned = m_callers.empty();
    advance(context, now, actions);
    if (isAbandoned && !wasLastStage)
        storeCopy(Phase::Idle, context, actions);
}

void RequestRecord::onAttemptRejected(const StageOutcome& outcome, TimePoint now)
{
    unmarkStarted();
    const Milliseconds retryAfter = std::max(outcome.retryAfter, m_options.failureRetryAfter);
    if (++m_rejections >= m_options.maxRejections)
        return refuse(
            RefusalReason::Overloaded, retryAfter, "backend servers rejected the stage too often");
    scheduleRetry(now);
}

void RequestRecord::onAttemptFailed(const StageOutcome& outcome, const Attempt& attempt,
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_mayHaveSent = true;
    if (!stage().idempotent)
        m_nonIdempotentMayHaveSent = m_copy.nonIdempotentStarted;
    if (outcome.end == StageEndReason::Crashed)
        onServerCrashed(attempt, context, now, actions);
    if (!stage().idempotent)
        return refuse(RefusalReason::OutcomeUnknown, Milliseconds(0),
            "a non-idempotent stage was sent and its response lost");
    if (m_refusal)
        return;
    const bool canRetry = ++m_sentAttempts < m_options.maxAttempts
        && (outcome.end == StageEndReason::Crashed || context.retries.tryAcquireRetry(stage(), true));
    if (!canRetry)
        return refuse(RefusalReason::BackendFailed, m_options.failureRetryAfter,
            "attempts of stage " + stage().name + " failed and no retry is left");
    m_excluded.push_back(attempt.server);
    scheduleRetry(now);
}

void RequestRecord::onServerCrashed(const Attempt& attempt, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    PoisonNotice notice = context.poison.recordCrash(stageFingerprint(), attempt.isExclusive, now);
    if (notice.state == PoisonState::Refused) {
        notice.fingerprint = fingerprintOf(m_copy.pipeline, m_copy.input);
        context.poison.apply(notice, now);
        refuse(RefusalReason::Poisoned, notice.remaining,
            "the request crashed a backend server that ran no other request");
    }
    actions.emplace_back(SendPoisonNoticeAction { .notice = notice });
}

void RequestRecord::scheduleRetry(TimePoint now)
{
    m_phase = Phase::Waiting;
    m_retryAt = now + m_options.backoff;
}

void RequestRecord::addCost(const StageOutcome& outcome, bool wasted)
{
    auto found = std::find_if(m_copy.costs.begin(), m_copy.costs.end(),
        [this](const StageCost& cost) { return cost.stage == stage().name; });
    if (found == m_copy.costs.end())
        found = m_copy.costs.insert(found, StageCost { .stage = stage().name });
    (wasted ? found->wasted : found->busy) += outcome.busy;
    found->tokens += outcome.tokens - std::min(outcome.tokens, m_resumeFrom);
    found->attempts += outcome.sent || !wasted ? 1 : 0;
}

}
