#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <string>
#include <vector>

namespace Apricot {

// One stage of one request, as the host that serves the caller asks for it. Times are what is left
// when the question leaves, so that hosts need no common clock.
struct StageWork {
    PoolId pool;
    // Group of the pool's servers that is to run it.
    int group = 0;
    std::string requestId;
    int stage = 0;
    int pieces = 0;
    // Names the input of a stage that reads no other stage; empty for the others.
    std::string pieceKey;
    // Results that every piece reads; empty for a stage that reads no other stage.
    std::vector<std::string> inputs;
    // Zero goes first.
    int rank = 0;
    // Until the stage has to begin for the request to meet its objective; may be negative.
    Milliseconds objectiveSlack { 0 };
    // Until the stage has to begin for the request to end before its caller leaves.
    Milliseconds deadlineSlack { 0 };
    // Until the caller leaves.
    Milliseconds callerTimeLeft { 0 };
    double resultBytes = 0;
    // Where the stage is best run, because its inputs or its readers are there; empty for anywhere.
    FailureDomainId preferredDomain;
    // Bytes that cross failure domains when it is run elsewhere.
    double crossDomainBytes = 0;
    // Whether nothing has been done for this request yet.
    bool isFirst = false;

    auto operator<=>(const StageWork&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(pool, group, requestId, stage, pieces, pieceKey, inputs, rank, objectiveSlack,
            deadlineSlack, callerTimeLeft, resultBytes, preferredDomain, crossDomainBytes, isFirst);
    }
};

enum class StageWorkOutcome {
    Done,
    // Turned away at once: it could not have been done in time.
    Overloaded,
    // Waited, and can no longer be done in time.
    Late,
    // An input is gone; the stages before have to run again.
    InputGone,
    // The pool's servers failed, or there are none.
    Failed,
    // The home is stopping; the next one does it.
    HandedOver,
};

// How long new work of a rank waits for a group of stage servers.
struct StageBacklog {
    int rank = 0;
    Milliseconds wait { 0 };

    auto operator<=>(const StageBacklog&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(rank, wait); }
};

// How one stage of one request ended.
struct StageWorkResult {
    StageWorkOutcome outcome = StageWorkOutcome::Failed;
    // One result for each piece, when it is done.
    std::vector<std::string> handles;
    // Where most of the results lie.
    FailureDomainId domain;
    // When the work could be taken, where it was not.
    Milliseconds retryAfter { 0 };
    // The group's backlog as the stage ended, by rising rank.
    std::vector<StageBacklog> backlog;

    auto operator<=>(const StageWorkResult&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(outcome, handles, domain, retryAfter, backlog); }
};

// One piece in a call of a stage server.
struct PlannedPiece {
    std::string requestId;
    int stage = 0;
    int piece = 0;
    Milliseconds callerTimeLeft { 0 };
    std::string pieceKey;
    std::vector<std::string> inputs;

    auto operator<=>(const PlannedPiece&) const = default;
};

// How one piece of a call ended.
enum class PieceOutcome {
    Done,
    // Its time had passed at its turn.
    Late,
    // An input is gone.
    InputGone,
    // The server has no room for its result.
    NoCapacity,
    Failed,
};

struct PieceResult {
    PieceOutcome outcome = PieceOutcome::Failed;
    std::string handle;

    auto operator<=>(const PieceResult&) const = default;
};

}
