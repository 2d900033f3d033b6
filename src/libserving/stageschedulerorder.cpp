#include "libserving/stagescheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

// Queries of StageScheduler: order of the work, estimated waits, and the time of the next event.
namespace Apricot {

std::optional<TimePoint> StageScheduler::nextEvent(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint time) {
        if (time > now && (!next || time < *next))
            next = time;
    };
    for (const auto& [id, task] : m_tasks)
        consider((task.runningPieces == 0 ? task.latestDeadlineStart : task.latestEnd) + Milliseconds(1));
    for (const auto& [id, call] : m_calls) {
        if (!call.isOverdue)
            consider(call.overdueAt);
    }
    if (waitingPieces() == 0)
        return next;
    for (const auto& [id, task] : m_tasks) {
        if (!task.waitingPieces.empty())
            consider(task.preferredDomainUntil);
    }
    for (const auto& [id, server] : m_servers) {
        if (server.call || !server.isListed)
            continue;
        consider(server.pausedUntil);
        consider(server.slowdownFactor > m_options.maxSlowdownFactor
                ? server.nextProbeAt
                : now + m_options.capacityPollInterval);
    }
    return next;
}

bool StageScheduler::hasServerIn(const FailureDomainId& domain) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
        const Server& server = entry.second;
        return server.isListed && server.server.domain == domain
            && server.slowdownFactor <= m_options.maxSlowdownFactor;
    });
}

FailureDomainId StageScheduler::mostCommonDomain(const std::vector<std::string>& handles) const
{
    std::map<FailureDomainId, int> counts;
    for (const std::string& handle : handles) {
        const std::optional<BackendServerId> id = m_resultCapacity.serverOf(handle);
        const auto server = id ? m_servers.find(*id) : m_servers.end();
        if (server != m_servers.end())
            ++counts[server->second.server.domain];
    }
    const auto mostCommon = std::max_element(counts.begin(), counts.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return mostCommon == counts.end() ? FailureDomainId() : mostCommon->first;
}

std::size_t StageScheduler::waitingPieces() const
{
    std::size_t pieces = 0;
    for (const auto& [id, task] : m_tasks)
        pieces += task.waitingPieces.size();
    return pieces;
}

std::vector<StageBacklog> StageScheduler::backlog(TimePoint now) const
{
    struct QueuedWork {
        double pieces = 0;
        double bytes = 0;
    };
    std::map<int, QueuedWork> workByRank;
    for (const auto& [id, task] : m_tasks) {
        // Work that can still meet its objective goes before late work.
        if (task.waitingPieces.empty() || task.latestObjectiveStart < now)
            continue;
        const auto pieces = static_cast<double>(task.waitingPieces.size());
        workByRank[task.work.rank].pieces += pieces;
        workByRank[task.work.rank].bytes += pieces * task.work.resultBytes;
    }
    std::vector<StageBacklog> backlog;
    QueuedWork workAhead;
    for (const auto& [rank, queued] : workByRank) {
        workAhead.pieces += queued.pieces;
        workAhead.bytes += queued.bytes;
        backlog.push_back({ rank,
            std::max(estimateServerWait(workAhead.pieces, 0, now),
                estimateCapacityWait(workAhead.bytes, now)) });
    }
    return backlog;
}

bool StageScheduler::precedes(const Task& left, TaskId leftId, const Task& right,
    TaskId rightId, TimePoint now) const
{
    const auto sortKey = [now](const Task& task, TaskId id) {
        return std::make_tuple(
            task.latestObjectiveStart < now, task.work.rank, task.latestObjectiveStart, id);
    };
    return sortKey(left, leftId) < sortKey(right, rightId);
}

std::vector<StageScheduler::TaskId> StageScheduler::orderedTasks(TimePoint now) const
{
    std::vector<TaskId> order;
    for (const auto& [id, task] : m_tasks) {
        if (!task.waitingPieces.empty())
            order.push_back(id);
    }
    std::sort(order.begin(), order.end(), [&](TaskId left, TaskId right) {
        return precedes(m_tasks.at(left), left, m_tasks.at(right), right, now);
    });
    return order;
}

double StageScheduler::expectedCallMilliseconds(std::size_t pieces) const
{
    return static_cast<double>(m_traits.callTime.count())
        + m_traits.pieceMilliseconds * static_cast<double>(pieces);
}

double StageScheduler::workingServers(TimePoint now) const
{
    double effectiveServers = 0;
    for (const auto& [id, server] : m_servers) {
        if (server.isListed && now >= server.pausedUntil
            && server.slowdownFactor <= m_options.maxSlowdownFactor)
            effectiveServers += 1 / std::max(server.slowdownFactor, m_options.minSlowdownFactor);
    }
    return effectiveServers;
}

Milliseconds StageScheduler::estimateWait(const Task& task, TaskId id, TimePoint now) const
{
    double piecesAhead = 0;
    double bytes = task.work.resultBytes * task.work.pieces;
    for (const auto& [otherId, other] : m_tasks) {
        if (!precedes(other, otherId, task, id, now))
            continue;
        const auto pieces = static_cast<double>(other.waitingPieces.size());
        piecesAhead += pieces;
        bytes += other.work.resultBytes * pieces;
    }
    return std::max(estimateServerWait(piecesAhead, task.work.pieces, now),
        estimateCapacityWait(bytes, now));
}

Milliseconds StageScheduler::estimateCapacityWait(double bytes, TimePoint now) const
{
    double freeBytes = 0;
    std::size_t listedServers = 0;
    for (const auto& [id, server] : m_servers) {
        if (!server.isListed)
            continue;
        ++listedServers;
        freeBytes += std::max(m_resultCapacity.freeBytes(id, now), 0.0);
    }
    return m_resultCapacity.timeUntilFree(bytes - freeBytes, listedServers);
}

Milliseconds StageScheduler::estimateServerWait(double piecesAhead, int pieces, TimePoint now) const
{
    const double batchSize = std::max(m_traits.batchLimit, 1);
    const double callTime = expectedCallMilliseconds(static_cast<std::size_t>(batchSize));
    const double effectiveServers = std::max(workingServers(now), 0.5);
    const bool isIdle = static_cast<double>(m_calls.size()) + 0.5 < effectiveServers;
    const double calls = std::floor((piecesAhead + pieces) / batchSize) / effectiveServers;
    return ceilMilliseconds(calls * callTime + (isIdle ? 0 : callTime / (2 * effectiveServers)));
}

}
