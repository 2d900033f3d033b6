#include "libserving/stagescheduler.h"

#include <algorithm>

// How work of the scheduler ends: done, dropped by its caller, too late, or for another home to do.
namespace Apricot {

void StageScheduler::cancel(TaskId id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return;
    addOrphans(found->second);
    m_tasks.erase(found);
}

void StageScheduler::handOverWaiting()
{
    std::vector<TaskId> untouched;
    for (const auto& [id, task] : m_tasks) {
        if (task.isUntouched())
            untouched.push_back(id);
    }
    for (const TaskId id : untouched)
        end(id, { .outcome = StageWorkOutcome::HandedOver });
}

void StageScheduler::addOrphans(const Task& task)
{
    std::copy_if(task.handles.begin(), task.handles.end(), std::back_inserter(m_orphans),
        [](const std::string& handle) { return !handle.empty(); });
}

void StageScheduler::finish(TaskId id, const Task& task)
{
    StageWorkResult result { .outcome = StageWorkOutcome::Done, .handles = task.handles };
    result.domain = domainOfMost(result.handles);
    end(id, std::move(result));
}

void StageScheduler::end(TaskId id, StageWorkResult result)
{
    const Task& task = m_tasks.at(id);
    if (result.outcome != StageWorkOutcome::Done)
        addOrphans(task);
    m_tasks.erase(id);
    m_ended.push_back({ id, std::move(result) });
}

std::vector<StageScheduler::EndedTask> StageScheduler::drainEnded(TimePoint now)
{
    dropLate(now);
    failWithoutServers();
    if (m_ended.empty())
        return {};
    const std::vector<StageBacklog> standing = backlog(now);
    for (EndedTask& ended : m_ended)
        ended.result.backlog = standing;
    return std::exchange(m_ended, {});
}

void StageScheduler::dropLate(TimePoint now)
{
    std::vector<TaskId> late;
    for (const auto& [id, task] : m_tasks) {
        // A result that comes later still is of no use.
        if (now > (task.running == 0 ? task.deadlineStart : task.deadlineEnd))
            late.push_back(id);
    }
    for (const TaskId id : late)
        end(id, { .outcome = StageWorkOutcome::Late });
    if (now >= m_hopelessAt) {
        m_hopelessAt = now + m_options.hopelessInterval;
        dropHopeless(now);
    }
}

void StageScheduler::failWithoutServers()
{
    const bool hasServers = std::any_of(m_servers.begin(), m_servers.end(),
        [](const auto& entry) { return entry.second.isListed; });
    if (hasServers)
        return;
    std::vector<TaskId> stranded;
    for (const auto& [id, task] : m_tasks) {
        if (task.running == 0)
            stranded.push_back(id);
    }
    for (const TaskId id : stranded)
        end(id, { .outcome = StageWorkOutcome::Failed });
}

// Work that missed its objective waits behind all that has not. Once that leaves it no time, its caller
// is told at once.
void StageScheduler::dropHopeless(TimePoint now)
{
    std::vector<TaskId> hopeless;
    double ahead = 0;
    for (const TaskId id : orderedTasks(now)) {
        const Task& task = m_tasks.at(id);
        const int pieces = static_cast<int>(task.waiting.size());
        const bool isLate = task.objectiveStart < now;
        if (isLate && task.running == 0 && now + waitBehind(ahead, pieces, now) > task.deadlineStart)
            hopeless.push_back(id);
        else
            ahead += pieces;
    }
    for (const TaskId id : hopeless)
        end(id, { .outcome = StageWorkOutcome::Late, .retryAfter = waitBehind(ahead, 0, now) });
}

}
