#pragma once

#include "libapricot/clock.h"
#include "libapricot/fingerprint.h"
#include "libapricot/identifier.h"

#include <string>
#include <vector>

namespace Apricot {

// One stage of one request, as sent by the host that serves the caller to the home of a server group.
// Times are relative to when the message is sent, so that hosts need no common clock.
struct StageWork {
    PoolId pool;
    // Group of the pool's servers that runs the stage.
    int group = 0;
    std::string requestId;
    int stage = 0;
    int pieces = 0;
    // Key of the input of a stage that reads no other stage; empty for other stages.
    std::string pieceKey;
    // Handles of the results that every piece reads; empty for a stage that reads no other stage.
    std::vector<std::string> inputs;
    // Priority; zero is served first.
    int rank = 0;
    // Time until the latest start with which the request meets its objective; can be negative.
    Milliseconds objectiveSlack { 0 };
    // Time until the latest start with which the request ends before its caller disconnects.
    Milliseconds deadlineSlack { 0 };
    // Time until the caller disconnects.
    Milliseconds callerTimeLeft { 0 };
    // Approximate size of the result of one piece.
    double resultBytes = 0;
    // Failure domain of the stage's inputs or of the readers of its results; empty for no preference.
    FailureDomainId preferredDomain;
    // Bytes that cross failure domains when the stage runs in another one.
    double crossDomainBytes = 0;
    // Whether no stage of the request has run yet.
    bool isFirst = false;
    // Identifies the request beyond this attempt of its caller.
    Fingerprint fingerprint = 0;
    // The work runs although its request is refused; see PoisonTable.
    bool isProbation = false;

    auto operator<=>(const StageWork&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(pool, group, requestId, stage, pieces, pieceKey, inputs, rank, objectiveSlack,
            deadlineSlack, callerTimeLeft, resultBytes, preferredDomain, crossDomainBytes, isFirst,
            fingerprint, isProbation);
    }
};

enum class StageWorkOutcome {
    Done,
    // Rejected on arrival because it could not meet its deadline.
    Overloaded,
    // Accepted, but can no longer meet its deadline.
    Late,
    // An input is no longer available; the preceding stages must run again.
    InputGone,
    // The pool's servers failed, or the pool has none.
    Failed,
    // The home is stopping or reaches none of the servers; the work must be sent to the next one.
    HandedOver,
    // The request crashes the servers that run it.
    Poisoned,
};

// Expected wait of new work of a rank for a group of stage servers.
struct StageBacklog {
    int rank = 0;
    Milliseconds wait { 0 };

    auto operator<=>(const StageBacklog&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(rank, wait); }
};

// The outcome of one stage of one request.
struct StageWorkResult {
    StageWorkOutcome outcome = StageWorkOutcome::Failed;
    // Handle of the result of each piece; set only if the outcome is Done.
    std::vector<std::string> handles;
    // Failure domain that holds most of the results.
    FailureDomainId domain;
    // Estimated time until the work could be accepted if it was not done; zero if unknown.
    Milliseconds retryAfter { 0 };
    // The group's backlog when the stage ended, in increasing order of rank.
    std::vector<StageBacklog> backlog;

    auto operator<=>(const StageWorkResult&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(outcome, handles, domain, retryAfter, backlog); }
};

// One piece in a call to a stage server.
struct PlannedPiece {
    std::string requestId;
    Fingerprint fingerprint = 0;
    int stage = 0;
    int piece = 0;
    Milliseconds callerTimeLeft { 0 };
    std::string pieceKey;
    std::vector<std::string> inputs;

    auto operator<=>(const PlannedPiece&) const = default;
};

// Outcome of one piece of a call.
enum class PieceOutcome {
    Done,
    // The caller's time had expired before the piece was run.
    Late,
    // An input is no longer available.
    InputGone,
    // The server has no capacity for the result.
    NoCapacity,
    Failed,
};

struct PieceResult {
    PieceOutcome outcome = PieceOutcome::Failed;
    std::string handle;

    auto operator<=>(const PieceResult&) const = default;
};

}
