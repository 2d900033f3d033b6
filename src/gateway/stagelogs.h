#pragma once

#include "libserving/stagescheduler.h"

#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// Number of pieces with an outcome.
std::size_t countPieces(const std::vector<PieceResult>& results, PieceOutcome outcome);
// Logs a call that did not return every result. The reason is empty if the server responded.
void logIncompleteCall(const PoolId& pool, const PlannedCall& call,
    const std::optional<std::vector<PieceResult>>& results, double bytesUsed, const std::string& reason);
// Logs the stage of a request that did not end with results.
void logFailedWork(const StageWork& work, const StageScheduler& scheduler, StageWorkOutcome outcome);

}
