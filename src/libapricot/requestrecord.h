#pragma once

#include "libapricot/poisontable.h"
#include "libapricot/recordcopy.h"
#include "libapricot/refusal.h"
#include "libapricot/requestaction.h"
#include "libapricot/retrybudget.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// Identifies a caller within one record.
using CallerId = std::uint64_t;

// One token of the response to a caller.
struct CallerToken {
    std::uint64_t index = 0;
    std::string text;

    auto operator<=>(const CallerToken&) const = default;
};

// The end of a complete response.
struct CallerCompleted {
    std::uint64_t tokens = 0;
    std::vector<StageCost> costs;

    auto operator<=>(const CallerCompleted&) const = default;
};

// What a caller receives next.
using CallerStep = std::variant<CallerToken, CallerCompleted, Refusal>;

struct RequestRecordOptions {
    RequestKey key;
    CatalogueEntry entry;
    std::string input;
    // Process that runs the record, and a claim token that is unique among all records and processes.
    std::string coordinator;
    std::string claimToken;
    // Lower bound of the revisions of the copies; must be higher for a later record of the same key.
    std::uint64_t firstRevision = 0;
    // Maximum number of attempts of one stage that were sent to a server.
    int maxAttempts = 4;
    // Maximum number of attempts of one stage that got no server or were rejected by its home.
    int maxRejections = 16;
    // Delay before a retry after a failed or rejected attempt.
    Milliseconds backoff { 20 };
    // How long after the end of an attempt's budget a response from its home is accepted.
    Milliseconds responseGrace { 500 };
    // Retry delay returned to the caller after a failure.
    Milliseconds failureRetryAfter { 1000 };
};

// State of the process that is shared by all its records.
struct RequestContext {
    RetryBudget& retries;
    PoisonTable& poison;
    ObjectVersion epoch = 0;
    // False while the platform does not respond to claims. A request that needs a claim is then
    // refused before any of its stages runs.
    bool canClaim = true;
};

// State machine of one request: its callers, the results of its stages and its open attempt. It does no
// I/O but returns actions for the caller to execute. Stages run one after another, each with the result
// of the previous one as input; the tokens of the last stage are streamed to the callers. A copy of the
// record is stored on a follower before an attempt is sent, so that another process can resume from
// the last result.
class RequestRecord {
public:
    explicit RequestRecord(RequestRecordOptions options);

    // Adds a caller that already has the tokens before resumeFrom, and starts the request if needed.
    CallerId attach(std::uint64_t resumeFrom, TimePoint deadline, const RequestContext& context,
        TimePoint now, RequestActions& actions);
    // Removes a caller. When the last caller leaves, the open attempt is cancelled, unless its stage is
    // non-idempotent and has been sent.
    void detach(CallerId caller, TimePoint now, RequestActions& actions);
    // Returns the next token, the completion or a refusal for a caller, or nothing while it must wait.
    // Advances the position of the caller. The run state of a refusal covers only this record; see
    // RecordTable::limitToKnownRecords().
    std::optional<CallerStep> next(CallerId caller, TimePoint now);
    std::uint64_t positionOf(CallerId caller) const { return m_callers.at(caller).position; }
    TimePoint deadlineOf(CallerId caller) const { return m_callers.at(caller).deadline; }

    // A follower responded to the copy of this revision. The response is empty if no follower could be
    // reached.
    void onCopyStored(std::uint64_t revision, const CopyResponse& response,
        const RequestContext& context, TimePoint now, RequestActions& actions);
    // Whether the response to the copy of this revision is still outstanding.
    bool isAwaitingCopy(std::uint64_t revision) const;
    void onClaimResponse(const ClaimResponse& response, const RequestContext& context, TimePoint now,
        RequestActions& actions);
    // The router found no server for the attempt. Nothing was sent.
    void onUnrouted(const AttemptId& attempt, TimePoint now);
    // The router chose a server for the attempt.
    void onRouted(const AttemptId& attempt, const BackendServerId& server);
    // A token of an attempt arrived. Returns false if it matches no open attempt or has an unexpected
    // index.
    bool onToken(const AttemptId& attempt, std::uint64_t index, const std::string& text);
    // An attempt ended. Returns false if it matches no open attempt.
    bool onAttemptEnded(const StageOutcome& outcome, const RequestContext& context, TimePoint now,
        RequestActions& actions);
    // Handles retries and attempt timeouts that are due.
    void tick(const RequestContext& context, TimePoint now, RequestActions& actions);
    // Time at which tick() must be called next, or nothing.
    std::optional<TimePoint> nextTick() const;

    // Time available for a claim: until the latest deadline of the callers.
    Milliseconds claimBudget(TimePoint now) const;
    const CatalogueEntry& entry() const { return m_options.entry; }
    // What has run according to this record alone.
    RanState ranState() const;
    const RecordCopy& copy() const { return m_copy; }
    // Merges the copy of an earlier coordinator.
    void inherit(const RecordCopy& copy);
    bool isFinished() const { return m_copy.finished && m_phase == Phase::Ended; }
    // Whether the record waits for a response or a retry.
    bool isRunning() const { return m_phase != Phase::Idle && m_phase != Phase::Ended; }
    std::size_t callerCount() const { return m_callers.size(); }
    // Number of responses that matched no open attempt, copy or claim.
    std::uint64_t droppedResponses() const { return m_droppedResponses; }
    // Host that runs the request instead of this one, as reported by a follower; empty otherwise.
    const HostId& runningElsewhere() const { return m_runningElsewhere; }
    TimePoint lastUsed() const { return m_lastUsed; }
    std::string_view phaseName() const;

private:
    // phaseName() depends on this order.
    enum class Phase {
        Idle,
        Opening,
        Claiming,
        Storing,
        Running,
        Waiting,
        Completing,
        Ended,
    };

    struct Caller {
        std::uint64_t position = 0;
        TimePoint deadline {};
    };

    struct Attempt {
        AttemptId id;
        BackendServerId server;
        TimePoint expiresAt {};
        bool isExclusive = false;
        bool routed = false;
    };

    const StageSpec& stage() const { return m_options.entry.stages[m_copy.results.size()]; }
    bool hasStagesLeft() const { return m_copy.results.size() < m_options.entry.stages.size(); }
    bool isLastStage() const { return m_copy.results.size() + 1 == m_options.entry.stages.size(); }
    const std::string& stageInput() const;
    bool resultsMatchEntry() const;
    TimePoint latestDeadline() const;

    void start(const RequestContext& context, TimePoint now, RequestActions& actions);
    void advance(const RequestContext& context, TimePoint now, RequestActions& actions);
    void prepareAttempt(const RequestContext& context, TimePoint now, RequestActions& actions);
    void startAttempt(const RequestContext& context, TimePoint now, RequestActions& actions);
    void complete(const RequestContext& context, RequestActions& actions);
    void storeCopy(Phase phase, const RequestContext& context, RequestActions& actions);
    // Marks in the copy that the current stage may have been sent; unmarkStarted() reverts the mark.
    void markStarted();
    void unmarkStarted();
    bool isStartMarkStored() const;
    Fingerprint stageFingerprint() const;
    void onSuperseded();
    void onServerCrashed(const Attempt& attempt, const RequestContext& context,
        TimePoint now, RequestActions& actions);
    void onStageFinished(const StageOutcome& outcome, const RequestContext& context, TimePoint now,
        RequestActions& actions);
    void onAttemptFailed(const StageOutcome& outcome, const Attempt& attempt,
        const RequestContext& context, TimePoint now, RequestActions& actions);
    void onAttemptRejected(const StageOutcome& outcome, TimePoint now);
    void scheduleRetry(TimePoint now);
    void refuse(RefusalReason reason, Milliseconds retryAfter, std::string detail);
    void addCost(const StageOutcome& outcome, bool wasted);
    bool matches(const AttemptId& attempt) const { return m_attempt && m_attempt->id == attempt; }
    bool hasAllTokens(const StageOutcome& outcome) const;
    void resetStage();

    RequestRecordOptions m_options;
    RecordCopy m_copy;
    RecordCopy m_storedCopy;
    Phase m_phase = Phase::Idle;
    std::map<CallerId, Caller> m_callers;
    CallerId m_nextCaller = 1;
    std::optional<Attempt> m_attempt;
    std::uint32_t m_nextAttempt = 0;
    int m_sentAttempts = 0;
    int m_rejections = 0;
    std::vector<BackendServerId> m_excluded;
    // Tokens of the current stage, or of the last stage once the request has finished.
    std::vector<std::string> m_tokens;
    std::uint64_t m_resumeFrom = 0;
    std::optional<TimePoint> m_retryAt;
    bool m_claimGranted = false;
    // Whether an ended attempt of this or an earlier coordinator may have been sent.
    bool m_mayHaveSent = false;
    // Value of RecordCopy::nonIdempotentStarted without the mark of the open attempt.
    std::uint32_t m_nonIdempotentMayHaveSent = 0;
    std::optional<Refusal> m_refusal;
    HostId m_runningElsewhere;
    std::uint64_t m_droppedResponses = 0;
    TimePoint m_lastUsed {};
};

}
