#include "libserving/stagescheduler.h"

#include <algorithm>

// How tasks of StageScheduler end: done, cancelled, failed, past their deadline, or handed over to another
// home.
namespace Apricot {

void StageScheduler::cancel(TaskId id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return;
    addUnclaimedResults(found->second);
    m_tasks.erase(found);
}

void StageScheduler::applyPermits(const std::function<StageWorkPermit(Fingerprint)>& permitOf)
{
    std::vector<TaskId> poisoned;
    for (auto& [id, task] : m_tasks) {
        const StageWorkPermit permit = permitOf(task.work.fingerprint);
        if (permit == StageWorkPermit::Poisoned && !task.work.isProbation)
            poisoned.push_back(id);
        task.isExclusive
            = permit != StageWorkPermit::Shared || task.brokenCalls >= m_options.exclusiveBrokenCalls;
    }
    for (const TaskId id : poisoned)
        endTask(id, { .outcome = StageWorkOutcome::Poisoned });
}

void StageScheduler::handOverWaiting()
{
    std::vector<TaskId> unstarted;
    for (const auto& [id, task] : m_tasks) {
        if (task.isUnstarted())
            unstarted.push_back(id);
    }
    for (const TaskId id : unstarted)
        endTask(id, { .outcome = StageWorkOutcome::HandedOver });
}

void StageScheduler::addUnclaimedResults(const Task& task)
{
    std::copy_if(task.handles.begin(), task.handles.end(), std::back_inserter(m_unclaimedResults),
        [](const std::string& handle) { return !handle.empty(); });
}

void StageScheduler::completeTask(TaskId id, const Task& task)
{
    StageWorkResult result { .outcome = StageWorkOutcome::Done, .handles = task.handles };
    result.domain = mostCommonDomain(result.handles);
    endTask(id, std::move(result));
}

void StageScheduler::endTask(TaskId id, StageWorkResult result)
{
    const Task& task = m_tasks.at(id);
    if (result.outcome != StageWorkOutcome::Done)
        addUnclaimedResults(task);
    m_tasks.erase(id);
    m_ended.push_back({ id, std::move(result) });
}

std::vector<StageScheduler::EndedTask> StageScheduler::drainEnded(TimePoint now)
{
    endLateTasks(now);
    failTasksWithoutServers();
    if (m_ended.empty())
        return {};
    const std::vector<StageBacklog> currentBacklog = backlog(now);
    for (EndedTask& ended : m_ended)
        ended.result.backlog = currentBacklog;
    return std::exchange(m_ended, {});
}

void StageScheduler::endLateTasks(TimePoint now)
{
    std::vector<TaskId> lateTasks;
    for (const auto& [id, task] : m_tasks) {
        // Results that arrive after this time are of no use.
        if (now > (task.runningPieces == 0 ? task.latestDeadlineStart : task.latestEnd))
            lateTasks.push_back(id);
    }
    for (const TaskId id : lateTasks)
        endTask(id, { .outcome = StageWorkOutcome::Late });
    if (now >= m_nextDeadlineCheckAt) {
        m_nextDeadlineCheckAt = now + m_options.deadlineCheckInterval;
        endTasksBeyondDeadline(now);
    }
}

void StageScheduler::failTasksWithoutServers()
{
    const bool hasServers = std::any_of(m_servers.begin(), m_servers.end(),
        [](const auto& entry) { return entry.second.isListed; });
    if (hasServers)
        return;
    std::vector<TaskId> unservedTasks;
    for (const auto& [id, task] : m_tasks) {
        if (task.runningPieces == 0)
            unservedTasks.push_back(id);
    }
    for (const TaskId id : unservedTasks)
        endTask(id, { .outcome = StageWorkOutcome::Failed });
}

// Work that missed its objective waits behind all work that has not. Once that wait exceeds its deadline,
// it is ended at once, so that its caller is notified early.
void StageScheduler::endTasksBeyondDeadline(TimePoint now)
{
    std::vector<TaskId> beyondDeadline;
    double piecesAhead = 0;
    for (const TaskId id : orderedTasks(now)) {
        const Task& task = m_tasks.at(id);
        const int pieces = static_cast<int>(task.waitingPieces.size());
        const bool isLate = task.latestObjectiveStart < now;
        if (isLate && task.runningPieces == 0
            && now + estimateServerWait(piecesAhead, pieces, now) > task.latestDeadlineStart)
            beyondDeadline.push_back(id);
        else
            piecesAhead += pieces;
    }
    for (const TaskId id : beyondDeadline)
        endTask(id,
            { .outcome = StageWorkOutcome::Late,
                .retryAfter = estimateServerWait(piecesAhead, 0, now) });
}

}
