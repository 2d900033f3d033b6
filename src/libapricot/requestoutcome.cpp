// How a record goes on after an attempt has ended.
#include "libapricot/requestrecord.h"

#include <algorithm>
#include <numeric>

namespace Apricot {

bool RequestRecord::onAttemptEnded(const StageOutcome& outcome, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    if (!matches(outcome.attempt)) {
        ++m_droppedAnswers;
        return false;
    }
    const Attempt attempt = *m_attempt;
    m_attempt.reset();
    m_phase = Phase::Idle;
    const bool finished = outcome.end == StageEnd::Finished && isWhole(outcome);
    addCost(outcome, !finished);
    if (finished)
        stageFinished(outcome, context, now, actions);
    else if (outcome.end != StageEnd::Finished && !outcome.sent)
        attemptRejected(outcome, now);
    else
        attemptFailed(outcome, attempt, context, now, actions);
    return true;
}

// The server counts its tokens from the start of the stage, those before a resumption included.
bool RequestRecord::isWhole(const StageOutcome& outcome) const
{
    return outcome.tokens == m_tokens.size() || (m_tokens.empty() && outcome.tokens == 1);
}

void RequestRecord::stageFinished(const StageOutcome& outcome, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    if (m_tokens.empty() && !outcome.result.empty())
        m_tokens.push_back(outcome.result);
    const bool wasLast = isLastStage();
    context.poison.recordFinish(stageFingerprint(), now);
    m_copy.results.push_back(StageResult { .stage = stage().name,
        .text = std::accumulate(m_tokens.begin(), m_tokens.end(), std::string()) });
    m_everSent = true;
    m_copy.maybeSent = true;
    m_nonIdempotentSent = m_copy.nonIdempotentStarted;
    if (!wasLast)
        resetStage();
    const bool abandoned = m_callers.empty();
    proceed(context, now, actions);
    if (abandoned && !wasLast)
        storeCopy(Phase::Idle, context, actions);
}

void RequestRecord::attemptRejected(const StageOutcome& outcome, TimePoint now)
{
    unmarkStarted();
    const Milliseconds retryAfter = std::max(outcome.retryAfter, m_options.failureRetryAfter);
    if (++m_rejections >= m_options.rejectionLimit)
        return end(RefusalReason::Overloaded, retryAfter, "backend servers gave no place");
    waitThenRetry(now);
}

void RequestRecord::attemptFailed(const StageOutcome& outcome, const Attempt& attempt,
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_everSent = true;
    if (!stage().idempotent)
        m_nonIdempotentSent = m_copy.nonIdempotentStarted;
    if (outcome.end == StageEnd::Crashed)
        crashed(attempt, context, now, actions);
    if (!stage().idempotent)
        return end(RefusalReason::OutcomeUnknown, Milliseconds(0),
            "a non-idempotent stage was sent and its answer lost");
    if (m_refusal)
        return;
    const bool mayRetry = ++m_sentAttempts < m_options.attemptLimit
        && (outcome.end == StageEnd::Crashed || context.retries.tryAcquireRetry(stage(), true));
    if (!mayRetry)
        return end(RefusalReason::BackendFailed, m_options.failureRetryAfter,
            "attempts of stage " + stage().name + " failed");
    m_excluded.push_back(attempt.server);
    waitThenRetry(now);
}

void RequestRecord::crashed(const Attempt& attempt, const RequestContext& context, TimePoint now,
    RequestActions& actions)
{
    PoisonNotice notice = context.poison.recordCrash(stageFingerprint(), attempt.alone, now);
    if (notice.state == PoisonState::Refused) {
        notice.fingerprint = fingerprintOf(m_copy.pipeline, m_copy.input);
        context.poison.apply(notice, now);
        end(RefusalReason::Poisoned, notice.remaining,
            "the request crashed a backend server that ran nothing else");
    }
    actions.emplace_back(SharePoisonAction { .notice = notice });
}

void RequestRecord::waitThenRetry(TimePoint now)
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
    found->tokens += outcome.tokens - std::min(outcome.tokens, m_resumedAt);
    found->attempts += outcome.sent || !wasted ? 1 : 0;
}

}
