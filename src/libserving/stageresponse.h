#pragma once

#include "libserving/receivedhandles.h"

#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// What a response on the connection of a call of stages is.
enum class StageResponseKind {
    // The results of the call's pieces.
    Results,
    // The server did not accept the call.
    Refused,
    // Not a response to this call, as far as it shows: it may belong to an earlier one.
    Foreign,
};

struct StageResponse {
    StageResponseKind kind = StageResponseKind::Foreign;
    // Why a response counts as foreign.
    std::string reason;
    // Whether the response would be recognized if it came again. Otherwise the connection cannot carry later calls: its
    // copy would be taken for the response to the next one, and that one's response for the response after it.
    bool isRecognizable = false;

    auto operator<=>(const StageResponse&) const = default;
};

// Finds out what a response with a status and its results is, nothing if they cannot be read. Calls of stages have no
// ID that a response would name, so it is known by its number of results and by handles that were not received before.
StageResponse classifyStageResponse(int status, const std::optional<std::vector<PieceResult>>& results,
    std::size_t pieces, const ServerStart& server, ReceivedHandles& handles);

}
