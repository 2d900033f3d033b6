#include "libapricot/requestrecord.h"

#include <algorithm>
#include <array>

namespace Apricot {

RequestRecord::RequestRecord(RequestRecordOptions options)
    : m_options(std::move(options))
{
    m_copy.key = m_options.key;
    m_copy.pipeline = m_options.entry.name;
    m_copy.input = m_options.input;
    m_copy.coordinator = m_options.coordinator;
    m_copy.revision = m_options.firstRevision;
}

void RequestRecord::inherit(const RecordCopy& copy)
{
    const std::size_t previousCount = m_copy.results.size();
    m_copy.mergeFrom(copy);
    // If the stages of the pipeline have changed, the earlier results are not valid input.
    if (!m_copy.finished && !resultsMatchEntry())
        m_copy.results.clear();
    m_mayHaveSent = m_mayHaveSent || copy.maybeSent;
    m_nonIdempotentMayHaveSent = std::max(m_nonIdempotentMayHaveSent, copy.nonIdempotentStarted);
    if (m_copy.results.size() != previousCount)
        resetStage();
    if (!m_copy.finished)
        return;
    m_tokens = m_copy.tokens;
    m_phase = Phase::Ended;
}

CallerId RequestRecord::attach(std::uint64_t resumeFrom, TimePoint deadline,
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    const CallerId caller = m_nextCaller++;
    m_callers[caller] = Caller { .position = resumeFrom, .deadline = deadline };
    m_lastUsed = now;
    m_runningElsewhere = HostId();
    if (!isRunning() && !isFinished())
        start(context, now, actions);
    return caller;
}

void RequestRecord::detach(CallerId caller, TimePoint now, RequestActions& actions)
{
    m_callers.erase(caller);
    m_lastUsed = now;
    if (!m_callers.empty() || !isRunning() || m_phase == Phase::Completing)
        return;
    if (m_attempt && m_attempt->routed) {
        if (!stage().idempotent)
            return;
        m_mayHaveSent = true;
    }
    if (m_attempt)
        actions.emplace_back(CancelAttemptAction { .attempt = m_attempt->id });
    m_attempt.reset();
    m_retryAt.reset();
    unmarkStarted();
    m_phase = Phase::Idle;
}

bool RequestRecord::resultsMatchEntry() const
{
    const std::vector<StageSpec>& stages = m_options.entry.stages;
    return m_copy.results.size() <= stages.size()
        && std::equal(m_copy.results.begin(), m_copy.results.end(), stages.begin(),
            [](const StageResult& result, const StageSpec& stage) {
                return result.stage == stage.name;
            });
}

std::optional<CallerStep> RequestRecord::next(CallerId caller, TimePoint now)
{
    Caller& state = m_callers.at(caller);
    const bool isStreaming = m_copy.finished || !hasStagesLeft() || isLastStage();
    if (isStreaming && state.position < m_tokens.size()) {
        const std::uint64_t index = state.position++;
        return CallerToken { .index = index, .text = m_tokens[index] };
    }
    if (isFinished())
        return CallerCompleted { .tokens = m_tokens.size(), .costs = m_copy.costs };
    std::optional<Refusal> refusal = m_refusal;
    if (!refusal && now >= state.deadline)
        refusal = Refusal { .reason = RefusalReason::DeadlinePassed,
            .retryAfter = m_options.failureRetryAfter };
    if (!refusal)
        return std::nullopt;
    refusal->ran = ranState();
    return *refusal;
}

void RequestRecord::start(const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_refusal.reset();
    m_excluded.clear();
    m_sentAttempts = 0;
    m_rejections = 0;
    const Fingerprint fingerprint = fingerprintOf(m_copy.pipeline, m_copy.input);
    if (context.poison.stateOf(fingerprint, now) == PoisonState::Refused)
        return refuse(RefusalReason::Poisoned, context.poison.remaining(fingerprint, now),
            "the request crashed a backend server that ran no other request");
    if (m_copy.isOutcomeUnknown())
        return refuse(RefusalReason::OutcomeUnknown, Milliseconds(0),
            "a non-idempotent stage was sent and its response lost");
    if (hasStagesLeft() && stage().idempotent)
        markStarted();
    storeCopy(Phase::Opening, context, actions);
}

bool RequestRecord::isAwaitingCopy(std::uint64_t revision) const
{
    const bool isStoring
        = m_phase == Phase::Opening || m_phase == Phase::Storing || m_phase == Phase::Completing;
    return isStoring && revision == m_copy.revision;
}

void RequestRecord::onCopyStored(std::uint64_t revision, const CopyResponse& response,
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    if (!isAwaitingCopy(revision)) {
        ++m_droppedResponses;
        return;
    }
    if (m_phase == Phase::Completing) {
        m_phase = Phase::Ended;
        return;
    }
    if (response.superseded)
        return onSuperseded();
    if (response.running) {
        onSuperseded();
        m_runningElsewhere = response.host;
        return;
    }
    if (!response.found) {
        if (m_phase == Phase::Opening && !context.canClaim && m_options.entry.needsClaim()) {
            unmarkStarted();
            return refuse(RefusalReason::PlatformUnavailable, m_options.failureRetryAfter,
                "the platform is unavailable, can't claim a non-idempotent stage");
        }
        if (isStartMarkStored())
            return startAttempt(context, now, actions);
        return advance(context, now, actions);
    }
    unmarkStarted();
    if (!m_copy.hasSameBody(response.copy))
        return refuse(RefusalReason::KeyReused, Milliseconds(0),
            "the key was already used for a different request");
    inherit(response.copy);
    if (m_phase != Phase::Ended)
        advance(context, now, actions);
}

void RequestRecord::onSuperseded()
{
    unmarkStarted();
    m_mayHaveSent = true;
    refuse(RefusalReason::NoEvidence, m_options.failureRetryAfter, "another host runs the request");
}

void RequestRecord::advance(const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_phase = Phase::Idle;
    if (!hasStagesLeft())
        return complete(context, actions);
    if (m_copy.isOutcomeUnknown())
        return refuse(RefusalReason::OutcomeUnknown, Milliseconds(0),
            "a non-idempotent stage was sent and its response lost");
    if (!m_callers.empty())
        prepareAttempt(context, now, actions);
}

void RequestRecord::complete(const RequestContext& context, RequestActions& actions)
{
    m_copy.finished = true;
    m_copy.tokens = m_tokens;
    storeCopy(Phase::Completing, context, actions);
}

void RequestRecord::prepareAttempt(
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_retryAt.reset();
    m_phase = Phase::Idle;
    if (now >= latestDeadline())
        return;
    if (!stage().idempotent && !m_claimGranted) {
        m_phase = Phase::Claiming;
        actions.emplace_back(ClaimAction {
            .claimKey = m_copy.key.value() + "/" + std::to_string(m_copy.results.size()),
            .key = m_copy.key,
            .token = m_options.claimToken,
        });
        return;
    }
    if (isStartMarkStored())
        return startAttempt(context, now, actions);
    markStarted();
    storeCopy(Phase::Storing, context, actions);
}

void RequestRecord::onClaimResponse(const ClaimResponse& response, const RequestContext& context,
    TimePoint now, RequestActions& actions)
{
    if (m_phase != Phase::Claiming) {
        ++m_droppedResponses;
        return;
    }
    switch (response.result) {
    case ClaimResult::Granted:
        m_claimGranted = true;
        return advance(context, now, actions);
    case ClaimResult::HeldByOther:
        m_mayHaveSent = true;
        return refuse(RefusalReason::OutcomeUnknown, m_options.failureRetryAfter,
            "another process holds the claim of a non-idempotent stage");
    case ClaimResult::Unavailable:
        return refuse(RefusalReason::PlatformUnavailable,
            std::max(response.retryAfter, m_options.failureRetryAfter),
            "the platform is unavailable, can't claim a non-idempotent stage");
    case ClaimResult::Expired:
        return refuse(RefusalReason::KeyExpired, Milliseconds(0),
            "the key has expired and can't be claimed");
    }
}

void RequestRecord::startAttempt(
    const RequestContext& context, TimePoint now, RequestActions& actions)
{
    m_phase = Phase::Idle;
    const TimePoint deadline = latestDeadline();
    if (m_callers.empty() || now >= deadline)
        return unmarkStarted();
    markStarted();
    const auto left = std::chrono::floor<Milliseconds>(deadline - now);
    const Milliseconds budget = std::max(Milliseconds(1), std::min(stage().timeout, left));
    const AttemptId id { .key = m_copy.key,
        .stage = static_cast<std::uint32_t>(m_copy.results.size()),
        .attempt = m_nextAttempt++,
        .coordinator = m_options.coordinator };
    const bool isExclusive
        = context.poison.stateOf(stageFingerprint(), now) == PoisonState::Suspect;
    if (m_sentAttempts == 0)
        context.retries.recordFirstAttempt();
    m_attempt = Attempt {
        .id = id, .expiresAt = now + budget + m_options.responseGrace, .isExclusive = isExclusive
    };
    m_resumeFrom = stage().kind == StageKind::Generate ? m_tokens.size() : 0;
    m_phase = Phase::Running;
    actions.emplace_back(StartAttemptAction { .attempt = id,
        .stage = stage(),
        .input = stageInput(),
        .resumeFrom = m_resumeFrom,
        .budget = budget,
        .excluded = m_excluded,
        .isExclusive = isExclusive });
}

void RequestRecord::onRouted(const AttemptId& attempt, const BackendServerId& server)
{
    if (!matches(attempt))
        return;
    m_attempt->server = server;
    m_attempt->routed = true;
}

void RequestRecord::onUnrouted(const AttemptId& attempt, TimePoint now)
{
    if (!matches(attempt))
        return;
    m_attempt.reset();
    unmarkStarted();
    if (m_excluded.empty() || ++m_rejections >= m_options.maxRejections)
        return refuse(RefusalReason::Overloaded, m_options.failureRetryAfter,
            "no backend server of the pool is eligible for the stage");
    m_excluded.clear();
    scheduleRetry(now);
}

bool RequestRecord::onToken(const AttemptId& attempt, std::uint64_t index, const std::string& text)
{
    if (!matches(attempt) || index != m_tokens.size()) {
        ++m_droppedResponses;
        return false;
    }
    m_tokens.push_back(text);
    return true;
}

void RequestRecord::tick(const RequestContext& context, TimePoint now, RequestActions& actions)
{
    if (m_phase == Phase::Waiting && m_retryAt && now >= *m_retryAt)
        return prepareAttempt(context, now, actions);
    if (!m_attempt || now < m_attempt->expiresAt)
        return;
    const AttemptId id = m_attempt->id;
    actions.emplace_back(CancelAttemptAction { .attempt = id });
    onAttemptEnded(
        StageOutcome { .attempt = id, .end = StageEndReason::TimedOut, .sent = m_attempt->routed },
        context, now, actions);
}

std::optional<TimePoint> RequestRecord::nextTick() const
{
    if (m_attempt)
        return m_attempt->expiresAt;
    return m_phase == Phase::Waiting ? m_retryAt : std::nullopt;
}

void RequestRecord::storeCopy(Phase phase, const RequestContext& context, RequestActions& actions)
{
    m_copy.epoch = context.epoch;
    ++m_copy.revision;
    m_storedCopy = m_copy;
    m_phase = phase;
    actions.emplace_back(StoreCopyAction { .copy = m_copy, .opening = phase == Phase::Opening });
}

void RequestRecord::markStarted()
{
    m_copy.maybeSent = true;
    if (!stage().idempotent)
        m_copy.nonIdempotentStarted = static_cast<std::uint32_t>(m_copy.results.size() + 1);
}

void RequestRecord::unmarkStarted()
{
    m_copy.maybeSent = m_mayHaveSent;
    m_copy.nonIdempotentStarted = m_nonIdempotentMayHaveSent;
}

bool RequestRecord::isStartMarkStored() const
{
    if (!hasStagesLeft() || m_storedCopy.results.size() != m_copy.results.size())
        return false;
    const bool isStarted = m_storedCopy.nonIdempotentStarted > m_copy.results.size();
    return m_storedCopy.maybeSent && (stage().idempotent || (m_claimGranted && isStarted));
}

const std::string& RequestRecord::stageInput() const
{
    return m_copy.results.empty() ? m_copy.input : m_copy.results.back().text;
}

TimePoint RequestRecord::latestDeadline() const
{
    TimePoint latest {};
    for (const auto& [id, caller] : m_callers)
        latest = std::max(latest, caller.deadline);
    return latest;
}

Milliseconds RequestRecord::claimBudget(TimePoint now) const
{
    return std::max(Milliseconds(0), std::chrono::floor<Milliseconds>(latestDeadline() - now));
}

RanState RequestRecord::ranState() const
{
    if (!m_copy.results.empty())
        return RanState::RanInPart;
    if (m_mayHaveSent || (m_attempt && m_attempt->routed))
        return RanState::Unknown;
    return RanState::NotRun;
}

Fingerprint RequestRecord::stageFingerprint() const
{
    return fingerprintOf(m_copy.pipeline, m_copy.input) + m_copy.results.size() + 1;
}

void RequestRecord::refuse(RefusalReason reason, Milliseconds retryAfter, std::string detail)
{
    m_phase = Phase::Idle;
    m_retryAt.reset();
    m_refusal = Refusal { .reason = reason, .retryAfter = retryAfter, .detail = std::move(detail) };
}

void RequestRecord::resetStage()
{
    m_tokens.clear();
    m_excluded.clear();
    m_sentAttempts = 0;
    m_rejections = 0;
    m_claimGranted = false;
}

std::string_view RequestRecord::phaseName() const
{
    static constexpr std::array<std::string_view, 8> names { "idle", "opening", "claiming",
        "storing", "running", "waiting", "completing", "ended" };
    return names.at(static_cast<std::size_t>(m_phase));
}

}
