#include "gateway/stagelogs.h"

#include "libnet/log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <set>

namespace Apricot {

namespace {

    std::string_view outcomeName(StageWorkOutcome outcome)
    {
        switch (outcome) {
        case StageWorkOutcome::Done:
            return "done";
        case StageWorkOutcome::Overloaded:
            return "overloaded";
        case StageWorkOutcome::Late:
            return "late";
        case StageWorkOutcome::InputGone:
            return "input_gone";
        case StageWorkOutcome::Failed:
            return "failed";
        case StageWorkOutcome::HandedOver:
            return "moved";
        case StageWorkOutcome::Poisoned:
            return "poisoned";
        }
        return "unknown";
    }

    boost::json::array requestsOf(const PlannedCall& call)
    {
        std::set<std::string> ids;
        for (const PlannedPiece& piece : call.pieces)
            ids.insert(piece.requestId);
        boost::json::array list;
        for (const std::string& id : ids)
            list.emplace_back(id);
        return list;
    }

}

std::size_t countPieces(const std::vector<PieceResult>& results, PieceOutcome outcome)
{
    return static_cast<std::size_t>(std::count_if(results.begin(), results.end(),
        [outcome](const PieceResult& result) { return result.outcome == outcome; }));
}

void logIncompleteCall(const PoolId& pool, const PlannedCall& call,
    const std::optional<std::vector<PieceResult>>& results, double bytesUsed,
    const std::string& reason)
{
    boost::json::object fields { { "pool", pool.value() },
        { "server", call.server.id.value() }, { "started_at", call.server.startedAt },
        { "requests", requestsOf(call) }, { "pieces", call.pieces.size() },
        { "answered", results.has_value() }, { "room_used_bytes", bytesUsed } };
    if (!reason.empty())
        fields["reason"] = reason;
    if (results) {
        fields["no_room"] = countPieces(*results, PieceOutcome::NoCapacity);
        fields["input_gone"] = countPieces(*results, PieceOutcome::InputGone);
        fields["late"] = countPieces(*results, PieceOutcome::Late);
        fields["failed"] = countPieces(*results, PieceOutcome::Failed);
    }
    writeLog(LogLevel::Info, "stage_call_incomplete", fields);
}

void logFailedWork(const StageWork& work, const StageScheduler& scheduler, StageWorkOutcome outcome)
{
    writeLog(LogLevel::Info, "stage_work_failed",
        { { "request", work.requestId }, { "stage", work.stage }, { "pool", work.pool.value() },
            { "group", work.group }, { "end", outcomeName(outcome) }, { "rank", work.rank },
            { "pieces", work.pieces }, { "objective_slack_ms", work.objectiveSlack.count() },
            { "deadline_slack_ms", work.deadlineSlack.count() },
            { "waiting_pieces", scheduler.waitingPieces() },
            { "working_servers", scheduler.workingServers(RuntimeClock::now()) } });
}

}
