#include "libserving/stagescheduler.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Apricot {

namespace {

    constexpr Milliseconds shortestRetry { 100 };

    Milliseconds toMilliseconds(double milliseconds)
    {
        return Milliseconds(static_cast<Milliseconds::rep>(std::ceil(milliseconds)));
    }

}

StageScheduler::StageScheduler(StageTraits traits, StageSchedulerOptions options)
    : m_traits(traits)
    , m_options(options)
{
}

void StageScheduler::setServers(const std::vector<StageServer>& servers)
{
    for (auto& [id, server] : m_servers)
        server.isListed = false;
    for (const StageServer& server : servers) {
        Server& entry = m_servers[server.id];
        entry.server = server;
        entry.isListed = true;
    }
    // What a server holds is remembered, in case it comes back.
    std::erase_if(m_servers, [](const auto& entry) {
        const Server& server = entry.second;
        return !server.isListed && !server.call && server.roomUsed <= 0;
    });
}

std::optional<StageWorkResult> StageScheduler::submit(TaskId id, StageWork work, TimePoint now)
{
    Task task { .work = std::move(work) };
    task.objectiveStart = now + task.work.objectiveSlack;
    task.deadlineStart = now + task.work.deadlineSlack;
    task.leavesAt = now + task.work.patience;
    for (int piece = 0; piece < task.work.pieces; ++piece)
        task.waiting.insert(piece);
    task.handles.resize(task.waiting.size());
    if (task.waiting.empty())
        return StageWorkResult { .end = StageWorkEnd::Done };
    const Milliseconds wait = estimateWait(task, id, now);
    if (task.work.isFirst && now + wait > task.deadlineStart) {
        const auto excess = std::chrono::ceil<Milliseconds>(now + wait - task.deadlineStart);
        return StageWorkResult { .end = StageWorkEnd::Overloaded,
            .retryAfter = std::max(excess, shortestRetry),
            .backlog = backlog(now) };
    }
    const double share = std::min(task.work.crossingBytes / m_options.domainWaitBytes, 1.0);
    const auto domainWait = toMilliseconds(share * static_cast<double>(m_options.domainWait.count()));
    task.domainUntil = hasServerIn(task.work.domain)
        ? std::min(now + domainWait, task.objectiveStart)
        : now;
    m_tasks.emplace(id, std::move(task));
    return std::nullopt;
}

void StageScheduler::cancel(TaskId id)
{
    const auto found = m_tasks.find(id);
    if (found == m_tasks.end())
        return;
    addOrphans(found->second);
    m_tasks.erase(found);
}

void StageScheduler::addOrphans(const Task& task)
{
    std::copy_if(task.handles.begin(), task.handles.end(), std::back_inserter(m_orphans),
        [](const std::string& handle) { return !handle.empty(); });
}

std::vector<PlannedCall> StageScheduler::plan(TimePoint now)
{
    expireResults(now);
    std::vector<PlannedCall> calls;
    for (Server* server : freeServers(now)) {
        const bool isProbe = server->pace > m_options.slowPace;
        const std::size_t limit = isProbe ? 1 : static_cast<std::size_t>(m_traits.batchLimit);
        std::vector<CallPiece> pieces = choosePieces(*server, now, limit);
        if (pieces.empty())
            continue;
        server->probeAt = now + m_options.probeInterval;
        calls.push_back(startCall(*server, std::move(pieces), now));
    }
    return calls;
}

std::vector<StageScheduler::Server*> StageScheduler::freeServers(TimePoint now)
{
    std::vector<Server*> servers;
    if (waitingPieces() == 0)
        return servers;
    for (auto& [id, server] : m_servers) {
        const bool isSlow = server.pace > m_options.slowPace;
        if (!server.call && server.isListed && now >= server.pausedUntil
            && (!isSlow || now >= server.probeAt))
            servers.push_back(&server);
    }
    std::sort(servers.begin(), servers.end(), [](const Server* left, const Server* right) {
        return std::tie(left->pace, left->roomUsed, left->server.id)
            < std::tie(right->pace, right->roomUsed, right->server.id);
    });
    return servers;
}

bool StageScheduler::mayRunIn(const Task& task, const Server& server, TimePoint now) const
{
    return task.work.domain.empty() || task.work.domain == server.server.domain
        || now >= task.domainUntil;
}

std::vector<StageScheduler::CallPiece> StageScheduler::choosePieces(
    const Server& server, TimePoint now, std::size_t limit)
{
    std::vector<CallPiece> chosen;
    double room = m_options.plannedRoom * m_traits.roomBytes / m_roomFactor - server.roomUsed;
    for (const TaskId id : orderedTasks(now)) {
        Task& task = m_tasks.at(id);
        if (!mayRunIn(task, server, now))
            continue;
        const double bytes = task.work.resultBytes;
        bool hasChosen = false;
        while (!task.waiting.empty() && chosen.size() < limit && bytes <= room) {
            room -= bytes;
            chosen.push_back({ id, *task.waiting.begin(), bytes });
            task.waiting.erase(task.waiting.begin());
            ++task.running;
            hasChosen = true;
        }
        if (hasChosen && bytes >= m_options.gatheredBytes && task.work.domain.empty()) {
            task.work.domain = server.server.domain;
            task.domainUntil = std::min(now + m_options.domainWait, task.objectiveStart);
        }
        if (chosen.size() == limit)
            break;
    }
    return chosen;
}

PlannedCall StageScheduler::startCall(
    Server& server, std::vector<CallPiece> pieces, TimePoint now)
{
    const double expected = callMilliseconds(pieces.size());
    PlannedCall planned { .id = m_nextCall++, .server = server.server };
    planned.timeout
        = toMilliseconds(expected * std::max(server.pace, 1.0) * m_options.patiencePace)
        + m_options.patienceMargin;
    for (const CallPiece& piece : pieces) {
        const Task& task = m_tasks.at(piece.task);
        server.roomUsed += piece.resultBytes;
        planned.pieces.push_back({ .requestId = task.work.requestId,
            .stage = task.work.stage,
            .piece = piece.piece,
            .patience = std::chrono::floor<Milliseconds>(task.leavesAt - now),
            .pieceKey = task.work.pieceKey,
            .inputs = task.work.inputs });
    }
    server.call = planned.id;
    m_calls[planned.id] = { .server = server.server.id,
        .pieces = std::move(pieces),
        .startedAt = now,
        .expected = toMilliseconds(expected) };
    return planned;
}

void StageScheduler::callAnswered(
    std::uint64_t id, const std::vector<PieceResult>& results, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (results.size() != found->second.pieces.size())
        return callFailed(id, StageCallFailure::Broken, now);
    const Call call = found->second;
    endCall(found);
    Server& server = m_servers.at(call.server);
    const double took = std::chrono::duration<double, std::milli>(now - call.startedAt).count();
    const double pace = took / std::max(static_cast<double>(call.expected.count()), 1.0);
    server.pace += m_options.paceWeight * (pace - server.pace);
    learnRoom(server, results, now);
    for (std::size_t index = 0; index < results.size(); ++index)
        takeResult(call, call.pieces[index], results[index], now);
}

void StageScheduler::learnRoom(
    Server& server, const std::vector<PieceResult>& results, TimePoint now)
{
    const auto without = static_cast<std::size_t>(std::count_if(results.begin(), results.end(),
        [](const PieceResult& result) { return result.end == PieceEnd::NoRoom; }));
    m_roomFactor = without > 0
        ? std::min(m_roomFactor * m_options.roomFactorRise, m_options.largestRoomFactor)
        : std::max(m_roomFactor * m_options.roomFactorFall, 1.0);
    if (2 * without < results.size()) {
        server.fullCalls = 0;
        return;
    }
    constexpr int mostDoublings = 6;
    const Milliseconds pause = m_options.fullPause * (1 << std::min(server.fullCalls++, mostDoublings));
    server.pausedUntil = now + std::min(pause, m_options.longestFullPause);
}

void StageScheduler::callFailed(std::uint64_t id, StageCallFailure failure, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    endCall(found);
    Server& server = m_servers.at(call.server);
    server.pausedUntil = now
        + (failure == StageCallFailure::Refused ? m_options.fullPause : m_options.failurePause);
    for (const CallPiece& piece : call.pieces) {
        server.roomUsed -= piece.resultBytes;
        const auto task = m_tasks.find(piece.task);
        if (task == m_tasks.end())
            continue;
        if (failure == StageCallFailure::Refused) {
            --task->second.running;
            task->second.waiting.insert(piece.piece);
        } else {
            pieceFailed(piece.task, task->second, piece.piece);
        }
    }
}

void StageScheduler::endCall(std::map<std::uint64_t, Call>::iterator call)
{
    m_servers.at(call->second.server).call.reset();
    m_calls.erase(call);
}

void StageScheduler::takeResult(
    const Call& call, const CallPiece& piece, const PieceResult& result, TimePoint now)
{
    Server& server = m_servers.at(call.server);
    if (result.end != PieceEnd::Done)
        server.roomUsed -= piece.resultBytes;
    else
        m_results[result.handle] = { call.server, piece.resultBytes, now + m_traits.resultLifetime };
    const auto found = m_tasks.find(piece.task);
    if (found == m_tasks.end()) {
        if (result.end == PieceEnd::Done)
            m_orphans.push_back(result.handle);
        return;
    }
    Task& task = found->second;
    switch (result.end) {
    case PieceEnd::Done:
        --task.running;
        task.handles.at(piece.piece) = result.handle;
        if (task.running == 0 && task.waiting.empty())
            finish(piece.task, task);
        return;
    case PieceEnd::Late:
        return end(piece.task, { .end = StageWorkEnd::Late });
    case PieceEnd::InputGone:
        return end(piece.task, { .end = StageWorkEnd::InputGone });
    case PieceEnd::NoRoom:
    case PieceEnd::Failed:
        return pieceFailed(piece.task, task, piece.piece);
    }
}

void StageScheduler::finish(TaskId id, const Task& task)
{
    StageWorkResult result { .end = StageWorkEnd::Done, .handles = task.handles };
    result.domain = domainOfMost(result.handles);
    end(id, std::move(result));
}

void StageScheduler::pieceFailed(TaskId id, Task& task, int piece)
{
    --task.running;
    task.waiting.insert(piece);
    if (++task.failures >= m_options.attemptLimit * task.work.pieces)
        end(id, { .end = StageWorkEnd::Failed });
}

void StageScheduler::end(TaskId id, StageWorkResult result)
{
    const Task& task = m_tasks.at(id);
    if (result.end != StageWorkEnd::Done)
        addOrphans(task);
    m_tasks.erase(id);
    m_ended.push_back({ id, std::move(result) });
}

void StageScheduler::released(const std::string& handle)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return;
    const auto server = m_servers.find(found->second.server);
    if (server != m_servers.end())
        server->second.roomUsed = std::max(server->second.roomUsed - found->second.bytes, 0.0);
    m_results.erase(found);
}

std::vector<StageScheduler::Ended> StageScheduler::takeEnded(TimePoint now)
{
    dropLate(now);
    failWithoutServers();
    if (m_ended.empty())
        return {};
    const std::vector<StageBacklog> standing = backlog(now);
    for (Ended& ended : m_ended)
        ended.result.backlog = standing;
    return std::exchange(m_ended, {});
}

void StageScheduler::dropLate(TimePoint now)
{
    std::vector<TaskId> late;
    for (const auto& [id, task] : m_tasks) {
        if (task.running == 0 && now > task.deadlineStart)
            late.push_back(id);
    }
    for (const TaskId id : late)
        end(id, { .end = StageWorkEnd::Late });
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
        end(id, { .end = StageWorkEnd::Failed });
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
        end(id, { .end = StageWorkEnd::Late, .retryAfter = waitBehind(ahead, 0, now) });
}

void StageScheduler::expireResults(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [handle, result] : m_results) {
        if (result.expiresAt <= now)
            expired.push_back(handle);
    }
    for (const std::string& handle : expired)
        released(handle);
}

}
