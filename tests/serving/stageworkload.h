#pragma once

#include "libserving/stagescheduler.h"

// Servers, work and responses for tests of the stage scheduler.
namespace Apricot::StageWorkload {

inline const StageTraits traits { .batchLimit = 8,
    .callTime = Milliseconds(200),
    .pieceMilliseconds = 21,
    .resultCapacityBytes = 18e6,
    .resultLifetime = Milliseconds(4000) };

inline StageServer makeServer(const char* id, const char* domain)
{
    return { BackendServerId(id), { "10.0.0.1", 80 }, FailureDomainId(domain) };
}

inline StageWork makeWork(const char* requestId, int pieces, int rank = 0)
{
    return { .requestId = requestId,
        .pieces = pieces,
        .pieceKey = "k",
        .rank = rank,
        .objectiveSlack = Milliseconds(1000),
        .deadlineSlack = Milliseconds(5000),
        .callerTimeLeft = Milliseconds(6000),
        .resultBytes = 8000,
        .isFirst = true };
}

inline std::vector<PieceResult> makeDoneResults(const PlannedCall& call, const char* prefix = "h")
{
    std::vector<PieceResult> results;
    for (const PlannedPiece& piece : call.pieces)
        results.push_back({ PieceOutcome::Done,
            prefix + std::to_string(call.id) + "-" + piece.requestId + "-"
                + std::to_string(piece.piece) });
    return results;
}

}
