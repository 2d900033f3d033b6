#include "libserving/stagescheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

// What the scheduler reads off its state: order, waits, and when to look again.
namespace Apricot {

std::optional<TimePoint> StageScheduler::nextEvent(TimePoint now) const
{
    std::optional<TimePoint> next;
    const auto consider = [&](TimePoint time) {
        if (time > now && (!next || time < *next))
            next = time;
    };
    for (const auto& [id, task] : m_tasks)
        consider((task.running == 0 ? task.deadlineStart : task.deadlineEnd) + Milliseconds(1));
    for (const auto& [id, call] : m_calls) {
        if (!call.isOverdue)
            consider(call.overdueAt);
    }
    if (waitingPieces() == 0)
        return next;
    for (const auto& [id, task] : m_tasks) {
        if (!task.waiting.empty())
            consider(task.domainUntil);
    }
    for (const auto& [id, server] : m_servers) {
        if (server.call || !server.isListed)
            continue;
        consider(server.pausedUntil);
        consider(server.pace > m_options.slowPace ? server.probeAt : now + m_options.roomPoll);
    }
    return next;
}

bool StageScheduler::hasServerIn(const FailureDomainId& domain) const
{
    return std::any_of(m_servers.begin(), m_servers.end(), [&](const auto& entry) {
        const Server& server = entry.second;
        return server.isListed && server.server.domain == domain
            && server.pace <= m_options.slowPace;
    });
}

FailureDomainId StageScheduler::domainOfMost(const std::vector<std::string>& handles) const
{
    std::map<FailureDomainId, int> counts;
    for (const std::string& handle : handles) {
        const std::optional<BackendServerId> id = m_resultCapacity.serverOf(handle);
        const auto server = id ? m_servers.find(*id) : m_servers.end();
        if (server != m_servers.end())
            ++counts[server->second.server.domain];
    }
    const auto most = std::max_element(counts.begin(), counts.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    return most == counts.end() ? FailureDomainId() : most->first;
}

std::size_t StageScheduler::waitingPieces() const
{
    std::size_t pieces = 0;
    for (const auto& [id, task] : m_tasks)
        pieces += task.waiting.size();
    return pieces;
}

std::vector<StageBacklog> StageScheduler::backlog(TimePoint now) const
{
    struct Waiting {
        double pieces = 0;
        double bytes = 0;
    };
    std::map<int, Waiting> ranks;
    for (const auto& [id, task] : m_tasks) {
        // Late work gives way to all that is on time.
        if (task.waiting.empty() || task.objectiveStart < now)
            continue;
        const auto pieces = static_cast<double>(task.waiting.size());
        ranks[task.work.rank].pieces += pieces;
        ranks[task.work.rank].bytes += pieces * task.work.resultBytes;
    }
    std::vector<StageBacklog> backlog;
    Waiting ahead;
    for (const auto& [rank, waiting] : ranks) {
        ahead.pieces += waiting.pieces;
        ahead.bytes += waiting.bytes;
        backlog.push_back({ rank,
            std::max(waitBehind(ahead.pieces, 0, now), waitForRoom(ahead.bytes, now)) });
    }
    return backlog;
}

bool StageScheduler::goesBefore(const Task& left, TaskId leftId, const Task& right,
    TaskId rightId, TimePoint now) const
{
    const auto place = [now](const Task& task, TaskId id) {
        return std::make_tuple(task.objectiveStart < now, task.work.rank, task.objectiveStart, id);
    };
    return place(left, leftId) < place(right, rightId);
}

std::vector<StageScheduler::TaskId> StageScheduler::orderedTasks(TimePoint now) const
{
    std::vector<TaskId> order;
    for (const auto& [id, task] : m_tasks) {
        if (!task.waiting.empty())
            order.push_back(id);
    }
    std::sort(order.begin(), order.end(), [&](TaskId left, TaskId right) {
        return goesBefore(m_tasks.at(left), left, m_tasks.at(right), right, now);
    });
    return order;
}

double StageScheduler::callMilliseconds(std::size_t pieces) const
{
    return static_cast<double>(m_traits.callTime.count())
        + m_traits.pieceMilliseconds * static_cast<double>(pieces);
}

double StageScheduler::workingServers(TimePoint now) const
{
    double working = 0;
    for (const auto& [id, server] : m_servers) {
        if (server.isListed && now >= server.pausedUntil && server.pace <= m_options.slowPace)
            working += 1 / std::max(server.pace, m_options.fastestPace);
    }
    return working;
}

Milliseconds StageScheduler::estimateWait(const Task& task, TaskId id, TimePoint now) const
{
    double ahead = 0;
    double bytes = task.work.resultBytes * task.work.pieces;
    for (const auto& [otherId, other] : m_tasks) {
        if (!goesBefore(other, otherId, task, id, now))
            continue;
        const auto pieces = static_cast<double>(other.waiting.size());
        ahead += pieces;
        bytes += other.work.resultBytes * pieces;
    }
    return std::max(waitBehind(ahead, task.work.pieces, now), waitForRoom(bytes, now));
}

Milliseconds StageScheduler::waitForRoom(double bytes, TimePoint now) const
{
    double free = 0;
    std::size_t listed = 0;
    for (const auto& [id, server] : m_servers) {
        if (!server.isListed)
            continue;
        ++listed;
        free += std::max(m_resultCapacity.free(id, now), 0.0);
    }
    return m_resultCapacity.timeToFree(bytes - free, listed);
}

Milliseconds StageScheduler::waitBehind(double piecesAhead, int pieces, TimePoint now) const
{
    const double batch = std::max(m_traits.batchLimit, 1);
    const double callTime = callMilliseconds(static_cast<std::size_t>(batch));
    const double working = std::max(workingServers(now), 0.5);
    const bool isIdle = static_cast<double>(m_calls.size()) + 0.5 < working;
    const double calls = std::floor((piecesAhead + pieces) / batch) / working;
    return ceilMilliseconds(calls * callTime + (isIdle ? 0 : callTime / (2 * working)));
}

}
