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

// Number of a caller within one record.
using CallerId = std::uint64_t;

// What a caller gets next.
struct CallerToken {
    std::uint64_t index = 0;
    std::string text;

    auto operator<=>(const CallerToken&) const = default;
};

struct CallerCompleted {
    std::uint64_t tokens = 0;
    std::vector<StageCost> costs;

    auto operator<=>(const CallerCompleted&) const = default;
};

using CallerStep = std::variant<CallerToken, CallerCompleted, Refusal>;

struct RequestRecordOptions {
    RequestKey key;
    CatalogueEntry entry;
    std::string input;
    // Process that runs the record, and a token that no other record of any process has.
    std::string coordinator;
    std::string claimToken;
    // Revisions of the copies of a later record of the same key are higher.
    std::uint64_t firstRevision = 0;
    // Most attempts of one stage that were sent to a server.
    int maxAttempts = 4;
    // Most attempts of one stage that were given no place.
    int maxRejections = 16;
    // Wait before an attempt after one that failed or was given no place.
    Milliseconds backoff { 20 };
    // How long after an attempt's budget its home may still answer.
    Milliseconds responseGrace { 500 };
    // Time to come back after a failure.
    Milliseconds failureRetryAfter { 1000 };
};

// Tables of the process that all its records share.
struct RequestContext {
    RetryBudget& retries;
    PoisonTable& poison;
    ObjectVersion epoch = 0;
    // False while the platform does not answer claims, so that a request which needs one is refused
    // before any of its stages has run.
    bool canClaim = true;
};

// One request: its callers, the results of its stages and its open attempt. It decides and asks for
// actions; it does no I/O. Stages run one after another, each on the result of the one before; the
// tokens of the last stage go to the callers as they arrive. Copies of the record stand on a
// follower before an attempt is sent, so that another process can go on from the last result.
class RequestRecord {
public:
    explicit RequestRecord(RequestRecordOptions options);

    // Adds a caller that has the tokens before resumeFrom, and starts the request if it doesn't run.
    CallerId attach(std::uint64_t resumeFrom, TimePoint deadline, const RequestContext& context,
        TimePoint now, RequestActions& actions);
    // Removes a caller. Without callers the open attempt is cancelled, unless it is a sent
    // non-idempotent one.
    void detach(CallerId caller, TimePoint now, RequestActions& actions);
    // Next token or the end for a caller, or nothing while it has to wait. Moves its position. A
    // refusal says what this record knows to have run; RecordTable::limitToKnown() says whether
    // that is all.
    std::optional<CallerStep> next(CallerId caller, TimePoint now);
    std::uint64_t positionOf(CallerId caller) const { return m_callers.at(caller).position; }
    TimePoint deadlineOf(CallerId caller) const { return m_callers.at(caller).deadline; }

    // A follower answered the copy of this revision. Nobody could be asked: an empty answer.
    void onCopyStored(std::uint64_t revision, const CopyResponse& response,
        const RequestContext& context, TimePoint now, RequestActions& actions);
    // Whether the answer to the copy of this revision is still waited for.
    bool isAwaitingCopy(std::uint64_t revision) const;
    void onClaimResponse(const ClaimResponse& response, const RequestContext& context, TimePoint now,
        RequestActions& actions);
    // The attempt got no server from the router. Nothing was sent.
    void onUnrouted(const AttemptId& attempt, TimePoint now);
    // The attempt's server is chosen.
    void onRouted(const AttemptId& attempt, const BackendServerId& server);
    // A token of an attempt. Returns false when it matches no open attempt or comes twice.
    bool onToken(const AttemptId& attempt, std::uint64_t index, const std::string& text);
    // An attempt ended. Returns false when it matches no open attempt.
    bool onAttemptEnded(const StageOutcome& outcome, const RequestContext& context, TimePoint now,
        RequestActions& actions);
    // Runs retries and time limits that are due.
    void tick(const RequestContext& context, TimePoint now, RequestActions& actions);
    // When tick() is due next, if at all.
    std::optional<TimePoint> nextTick() const;

    // How long a claim is of use: until the last caller's deadline.
    Milliseconds claimBudget(TimePoint now) const;
    const CatalogueEntry& entry() const { return m_options.entry; }
    // What is known here to have run. NotRun as far as this record goes.
    RanState ranState() const;
    const RecordCopy& copy() const { return m_copy; }
    // Takes over a copy that an earlier coordinator left on this host.
    void inherit(const RecordCopy& copy);
    bool isFinished() const { return m_copy.finished && m_phase == Phase::Ended; }
    // Whether the record waits for an answer or a time.
    bool isRunning() const { return m_phase != Phase::Idle && m_phase != Phase::Ended; }
    std::size_t callerCount() const { return m_callers.size(); }
    // Answers that matched no open attempt.
    std::uint64_t droppedAnswers() const { return m_droppedAnswers; }
    // Process that runs the request in this one's place, once a follower has said so.
    const HostId& runningElsewhere() const { return m_runningElsewhere; }
    TimePoint lastUsed() const { return m_lastUsed; }
    std::string_view phaseName() const;

private:
    // phaseName() names them in this order.
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
        bool alone = false;
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
    // Notes in the copy that the current stage is about to be sent; unmark takes it back.
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
    // Tokens of the current stage, or of the last one when the request has finished.
    std::vector<std::string> m_tokens;
    std::uint64_t m_resumeFrom = 0;
    std::optional<TimePoint> m_retryAt;
    bool m_claimGranted = false;
    // Whether an attempt that has ended, of this or an earlier coordinator, may have been sent.
    bool m_mayHaveSent = false;
    // Value of RecordCopy::nonIdempotentStarted without the mark of an attempt that is being made.
    std::uint32_t m_nonIdempotentMayHaveSent = 0;
    std::optional<Refusal> m_refusal;
    HostId m_runningElsewhere;
    std::uint64_t m_droppedAnswers = 0;
    TimePoint m_lastUsed {};
};

}
