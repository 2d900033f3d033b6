#include "libserving/stagescheduler.h"

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace {

    constexpr Milliseconds shortestRetry { 100 };

    // Time that a call has taken against what it should take.
    double paceOf(TimePoint startedAt, Milliseconds expected, TimePoint now)
    {
        return inMilliseconds(now - startedAt)
            / std::max(static_cast<double>(expected.count()), 1.0);
    }

}

StageScheduler::StageScheduler(StageTraits traits, StageSchedulerOptions options)
    : m_traits(traits)
    , m_options(options)
    , m_resultCapacity(traits, options.resultCapacity)
{
}

bool StageScheduler::Task::isDone() const
{
    return std::none_of(
        handles.begin(), handles.end(), [](const std::string& handle) { return handle.empty(); });
}

bool StageScheduler::Task::isUntouched() const
{
    return waiting.size() == handles.size() && failures == 0;
}

void StageScheduler::setTraits(const StageTraits& traits)
{
    m_traits = traits;
    m_resultCapacity.setTraits(traits);
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
    std::erase_if(m_servers, [this](const auto& entry) {
        const Server& server = entry.second;
        return !server.isListed && !server.call && m_resultCapacity.used(entry.first) <= 0;
    });
}

std::optional<StageWorkResult> StageScheduler::submit(TaskId id, StageWork work, TimePoint now)
{
    Task task { .work = std::move(work) };
    task.objectiveStart = now + task.work.objectiveSlack;
    task.deadlineStart = now + task.work.deadlineSlack;
    task.deadlineEnd = task.deadlineStart
        + ceilMilliseconds(callMilliseconds(static_cast<std::size_t>(m_traits.batchLimit)));
    task.leavesAt = now + task.work.callerTimeLeft;
    for (int piece = 0; piece < task.work.pieces; ++piece)
        task.waiting.insert(piece);
    task.handles.resize(task.waiting.size());
    if (task.waiting.empty())
        return StageWorkResult { .outcome = StageWorkOutcome::Done };
    const Milliseconds wait = estimateWait(task, id, now);
    if (task.work.isFirst && now + wait > task.deadlineStart) {
        const auto excess = std::chrono::ceil<Milliseconds>(now + wait - task.deadlineStart);
        return StageWorkResult { .outcome = StageWorkOutcome::Overloaded,
            .retryAfter = std::max(excess, shortestRetry),
            .backlog = backlog(now) };
    }
    const double share = std::min(task.work.crossDomainBytes / m_options.domainWaitBytes, 1.0);
    const auto domainWait = ceilMilliseconds(share * static_cast<double>(m_options.domainWait.count()));
    task.domainUntil = hasServerIn(task.work.preferredDomain)
        ? std::min(now + domainWait, task.objectiveStart)
        : now;
    m_tasks.emplace(id, std::move(task));
    return std::nullopt;
}

std::vector<PlannedCall> StageScheduler::planCalls(TimePoint now)
{
    m_resultCapacity.expire(now);
    spreadOverdue(now);
    std::vector<PlannedCall> calls;
    const std::vector<Server*> servers = freeServers(now);
    if (servers.empty())
        return calls;
    const std::vector<TaskId> order = orderedTasks(now);
    // A look at a slow server takes long: what is least urgent bears it.
    const std::vector<TaskId> reversed(order.rbegin(), order.rend());
    for (Server* server : servers) {
        const bool isProbe = server->pace > m_options.slowPace;
        const std::size_t limit = isProbe ? 1 : static_cast<std::size_t>(m_traits.batchLimit);
        std::vector<CallPiece> pieces
            = choosePieces(*server, isProbe ? reversed : order, now, limit);
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
    const auto place = [this](const Server* server) {
        return std::make_tuple(server->pace, m_resultCapacity.used(server->server.id), server->server.id);
    };
    std::sort(servers.begin(), servers.end(),
        [&place](const Server* left, const Server* right) { return place(left) < place(right); });
    return servers;
}

bool StageScheduler::mayRunIn(const Task& task, const Server& server, TimePoint now) const
{
    return task.work.preferredDomain.empty() || task.work.preferredDomain == server.server.domain
        || now >= task.domainUntil;
}

std::vector<StageScheduler::CallPiece> StageScheduler::choosePieces(
    const Server& server, const std::vector<TaskId>& order, TimePoint now, std::size_t limit)
{
    std::vector<CallPiece> chosen;
    double room = m_resultCapacity.free(server.server.id, now);
    for (const TaskId id : order) {
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
        if (hasChosen && bytes >= m_options.gatheredBytes && task.work.preferredDomain.empty()) {
            task.work.preferredDomain = server.server.domain;
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
        = ceilMilliseconds(expected * std::max(server.pace, 1.0) * m_options.patiencePace)
        + m_options.patienceMargin;
    for (const CallPiece& piece : pieces) {
        const Task& task = m_tasks.at(piece.task);
        m_resultCapacity.reserve(server.server.id, piece.resultBytes);
        planned.pieces.push_back({ .requestId = task.work.requestId,
            .stage = task.work.stage,
            .piece = piece.piece,
            .callerTimeLeft = std::chrono::floor<Milliseconds>(task.leavesAt - now),
            .pieceKey = task.work.pieceKey,
            .inputs = task.work.inputs });
    }
    server.call = planned.id;
    const double overdue = expected * std::max(server.pace, 1.0) * m_options.overduePace;
    m_calls[planned.id] = { .server = server.server.id,
        .pieces = std::move(pieces),
        .startedAt = now,
        .expected = ceilMilliseconds(expected),
        .overdueAt = now + ceilMilliseconds(overdue) + m_options.overdueMargin };
    return planned;
}

void StageScheduler::onCallAnswered(
    std::uint64_t id, const std::vector<PieceResult>& results, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (results.size() != found->second.pieces.size())
        return onCallFailed(id, StageCallFailure::Broken, now);
    const Call call = found->second;
    endCall(found);
    Server& server = m_servers.at(call.server);
    server.pace
        += m_options.paceWeight * (paceOf(call.startedAt, call.expected, now) - server.pace);
    for (std::size_t index = 0; index < results.size(); ++index)
        takeResult(call, call.pieces[index], results[index], now);
    learnRoom(server, results, now);
}

void StageScheduler::learnRoom(
    Server& server, const std::vector<PieceResult>& results, TimePoint now)
{
    const auto without = static_cast<std::size_t>(std::count_if(results.begin(), results.end(),
        [](const PieceResult& result) { return result.outcome == PieceOutcome::NoCapacity; }));
    m_resultCapacity.callEnded(server.server.id, without > 0, now);
    if (2 * without < results.size()) {
        server.fullCalls = 0;
        return;
    }
    constexpr int mostDoublings = 6;
    const Milliseconds pause = m_options.fullPause * (1 << std::min(server.fullCalls++, mostDoublings));
    server.pausedUntil = now + std::min(pause, m_options.longestFullPause);
}

void StageScheduler::onCallFailed(std::uint64_t id, StageCallFailure failure, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    endCall(found);
    Server& server = m_servers.at(call.server);
    server.pausedUntil = now
        + (failure == StageCallFailure::Refused ? m_options.fullPause : m_options.failurePause);
    if (failure == StageCallFailure::TimedOut)
        server.pace = std::max(server.pace, paceOf(call.startedAt, call.expected, now));
    for (const CallPiece& piece : call.pieces) {
        m_resultCapacity.giveBack(call.server, piece.resultBytes);
        const auto task = m_tasks.find(piece.task);
        if (task == m_tasks.end() || call.isOverdue)
            continue;
        if (failure == StageCallFailure::Refused)
            putBack(task->second, piece.piece);
        else
            pieceFailed(piece.task, task->second, piece.piece);
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
    if (result.outcome == PieceOutcome::Done)
        m_resultCapacity.keep(result.handle, call.server, piece.resultBytes, call.startedAt, now);
    else
        m_resultCapacity.giveBack(call.server, piece.resultBytes);
    const auto found = m_tasks.find(piece.task);
    if (found == m_tasks.end()) {
        if (result.outcome == PieceOutcome::Done)
            m_orphans.push_back(result.handle);
        return;
    }
    Task& task = found->second;
    if (result.outcome == PieceOutcome::Done) {
        if (!call.isOverdue)
            --task.running;
        return takeHandle(piece, result.handle);
    }
    // The pieces of an overdue call have been put back before.
    if (call.isOverdue)
        return;
    switch (result.outcome) {
    case PieceOutcome::Done:
        return;
    case PieceOutcome::Late:
        return end(piece.task, { .outcome = StageWorkOutcome::Late });
    case PieceOutcome::InputGone:
        return end(piece.task, { .outcome = StageWorkOutcome::InputGone });
    case PieceOutcome::NoCapacity:
        return putBack(task, piece.piece);
    case PieceOutcome::Failed:
        return pieceFailed(piece.task, task, piece.piece);
    }
}

void StageScheduler::takeHandle(const CallPiece& piece, const std::string& handle)
{
    Task& task = m_tasks.at(piece.task);
    std::string& kept = task.handles.at(piece.piece);
    if (!kept.empty()) {
        m_orphans.push_back(handle);
        return;
    }
    kept = handle;
    task.waiting.erase(piece.piece);
    if (task.isDone())
        finish(piece.task, task);
}

void StageScheduler::putBack(Task& task, int piece)
{
    --task.running;
    if (task.handles.at(piece).empty())
        task.waiting.insert(piece);
}

void StageScheduler::spreadOverdue(TimePoint now)
{
    for (auto& [id, call] : m_calls) {
        if (call.isOverdue || now < call.overdueAt)
            continue;
        call.isOverdue = true;
        Server& server = m_servers.at(call.server);
        server.pace = std::max(server.pace, paceOf(call.startedAt, call.expected, now));
        for (const CallPiece& piece : call.pieces) {
            const auto task = m_tasks.find(piece.task);
            if (task != m_tasks.end())
                putBack(task->second, piece.piece);
        }
    }
}

void StageScheduler::pieceFailed(TaskId id, Task& task, int piece)
{
    putBack(task, piece);
    if (++task.failures >= m_options.attemptLimit * task.work.pieces)
        end(id, { .outcome = StageWorkOutcome::Failed });
}

}
