#include "gateway/stagehome.h"
#include "gateway/stagelogs.h"

#include <algorithm>

// What a home of stage servers does while their version is moved.

namespace Apricot {

namespace {

    // Time after which a server that has had its share of the calls of a trial is considered again.
    constexpr Milliseconds rolloutPause { 50 };
    // Duration that stands for a call that takes as long as expected.
    constexpr double referenceCallMilliseconds = 100;

}

void StageHome::pauseRolloutTargets(const GroupKey& key, Group& group, TimePoint now)
{
    const RolloutRouting& routing = m_backendCaller.rollouts().routing();
    if (!routing.inProgress(key.first))
        return;
    const auto& servers = m_view.servers().all();
    group.scheduler.pauseServers([&](const StageServer& server) {
        const auto known = servers.find(server.id);
        const bool mayCall = known == servers.end()
            || routing.mayCall(key.first, known->second.server.softwareVersion, now);
        return mayCall ? TimePoint {} : now + rolloutPause;
    });
}

void StageHome::recordRolloutAnswer(const PoolId& pool, const PlannedCall& planned, const ServerEntry& server,
    const std::optional<std::vector<PieceResult>>& results, StageCallFailure failure, TimePoint sentAt)
{
    RolloutObserver& rollouts = m_backendCaller.rollouts();
    const auto config = m_view.config();
    const Pool* definition = config ? config->findPool(pool) : nullptr;
    if (!rollouts.routing().inProgress(pool) || !definition || !definition->stage)
        return;
    const std::size_t failed = results ? countPieces(*results, PieceOutcome::Failed) : 0;
    if (results && 2 * failed < planned.pieces.size()) {
        // Calls differ in size, so their durations are compared with what the configuration states.
        const double expected = inMilliseconds(definition->stage->callTime)
            + definition->stage->pieceMilliseconds * static_cast<double>(planned.pieces.size());
        const double factor = inMilliseconds(RuntimeClock::now() - sentAt) / std::max(expected, 1.0);
        rollouts.recordSuccess(pool.value(), server, ceilMilliseconds(factor * referenceCallMilliseconds));
    } else if (results || failure == StageCallFailure::Broken || failure == StageCallFailure::TimedOut) {
        rollouts.recordFailure(pool.value(), server);
    }
}

}
