#include "libserving/stageresponse.h"

#include <algorithm>

namespace Apricot {

StageResponse classifyStageResponse(int status, const std::optional<std::vector<PieceResult>>& results,
    std::size_t pieces, const ServerStart& server, ReceivedHandles& handles)
{
    constexpr int statusOk = 200;
    if (status != statusOk)
        return { .kind = StageResponseKind::Refused };
    if (!results)
        return { .reason = "expected a list of results, got none that can be read" };
    if (results->size() != pieces)
        return { .reason = "expected " + std::to_string(pieces) + " results, got " + std::to_string(results->size()) };
    if (!handles.record(server, *results))
        return { .reason = "a response to an earlier call arrived again" };
    const bool hasHandle = std::any_of(
        results->begin(), results->end(), [](const PieceResult& result) { return !result.handle.empty(); });
    return { .kind = StageResponseKind::Results, .isRecognizable = hasHandle };
}

}
