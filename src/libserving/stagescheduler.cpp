#include "libserving/stagescheduler.h"

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace {

    constexpr Milliseconds minRetryAfter { 100 };

    // Ratio of the time that a call has taken to its expected time.
    double slowdownFactorOf(TimePoint startedAt, Milliseconds expectedTime, TimePoint now)
    {
        return inMilliseconds(now - startedAt)
            / std::max(static_cast<double>(expectedTime.count()), 1.0);
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

bool StageScheduler::Task::isUnstarted() const
{
    return waitingPieces.size() == handles.size() && pieceFailures == 0;
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
    // Servers that hold results are retained, in case they are listed again.
    std::erase_if(m_servers, [this](const auto& entry) {
        const Server& server = entry.second;
        return !server.isListed && !server.call && m_resultCapacity.usedBytes(entry.first) <= 0;
    });
}

void StageScheduler::pauseServers(const std::function<TimePoint(const StageServer&)>& availableAt)
{
    for (auto& [id, server] : m_servers)
        server.pausedUntil = std::max(server.pausedUntil, availableAt(server.server));
}

std::optional<StageWorkResult> StageScheduler::submit(TaskId id, StageWork work, TimePoint now)
{
    Task task { .work = std::move(work) };
    task.latestObjectiveStart = now + task.work.objectiveSlack;
    task.latestDeadlineStart = now + task.work.deadlineSlack;
    task.latestEnd = task.latestDeadlineStart
        + ceilMilliseconds(expectedCallMilliseconds(static_cast<std::size_t>(m_traits.batchLimit)));
    task.callerLeavesAt = now + task.work.callerTimeLeft;
    for (int piece = 0; piece < task.work.pieces; ++piece)
        task.waitingPieces.insert(piece);
    task.handles.resize(task.waitingPieces.size());
    if (task.waitingPieces.empty())
        return StageWorkResult { .outcome = StageWorkOutcome::Done };
    const Milliseconds wait = estimateWait(task, id, now);
    if (task.work.isFirst && now + wait > task.latestDeadlineStart) {
        const auto excess = std::chrono::ceil<Milliseconds>(now + wait - task.latestDeadlineStart);
        return StageWorkResult { .outcome = StageWorkOutcome::Overloaded,
            .retryAfter = std::max(excess, minRetryAfter),
            .backlog = backlog(now) };
    }
    const double share
        = std::min(task.work.crossDomainBytes / m_options.preferredDomainWaitBytes, 1.0);
    const auto preferredDomainWait
        = ceilMilliseconds(share * static_cast<double>(m_options.preferredDomainWait.count()));
    task.preferredDomainUntil = hasServerIn(task.work.preferredDomain)
        ? std::min(now + preferredDomainWait, task.latestObjectiveStart)
        : now;
    m_tasks.emplace(id, std::move(task));
    return std::nullopt;
}

std::vector<PlannedCall> StageScheduler::planCalls(TimePoint now)
{
    m_resultCapacity.expire(now);
    requeueOverdueCalls(now);
    std::vector<PlannedCall> calls;
    const std::vector<Server*> servers = idleServers(now);
    if (servers.empty())
        return calls;
    const std::vector<TaskId> order = orderedTasks(now);
    // A probe of a slow server takes long, so it gets the least urgent piece.
    const std::vector<TaskId> reversed(order.rbegin(), order.rend());
    for (Server* server : servers) {
        const bool isProbe = server->slowdownFactor > m_options.maxSlowdownFactor;
        const std::size_t limit = isProbe ? 1 : static_cast<std::size_t>(m_traits.batchLimit);
        std::vector<CallPiece> pieces
            = choosePieces(*server, isProbe ? reversed : order, now, limit);
        if (pieces.empty())
            continue;
        server->nextProbeAt = now + m_options.probeInterval;
        calls.push_back(startCall(*server, std::move(pieces), now));
    }
    return calls;
}

std::vector<StageScheduler::Server*> StageScheduler::idleServers(TimePoint now)
{
    std::vector<Server*> servers;
    if (waitingPieces() == 0)
        return servers;
    for (auto& [id, server] : m_servers) {
        const bool isSlow = server.slowdownFactor > m_options.maxSlowdownFactor;
        if (!server.call && server.isListed && now >= server.pausedUntil
            && (!isSlow || now >= server.nextProbeAt))
            servers.push_back(&server);
    }
    const auto sortKey = [this](const Server* server) {
        return std::make_tuple(server->slowdownFactor,
            m_resultCapacity.usedBytes(server->server.id), server->server.id);
    };
    std::sort(servers.begin(), servers.end(),
        [&sortKey](const Server* left, const Server* right) { return sortKey(left) < sortKey(right); });
    return servers;
}

bool StageScheduler::canRunOn(const Task& task, const Server& server, TimePoint now) const
{
    return task.work.preferredDomain.empty() || task.work.preferredDomain == server.server.domain
        || now >= task.preferredDomainUntil;
}

std::vector<StageScheduler::CallPiece> StageScheduler::choosePieces(
    const Server& server, const std::vector<TaskId>& order, TimePoint now, std::size_t limit)
{
    std::vector<CallPiece> chosenPieces;
    double freeBytes = m_resultCapacity.freeBytes(server.server.id, now);
    for (const TaskId id : order) {
        Task& task = m_tasks.at(id);
        const bool isOwnCall = chosenPieces.empty();
        if (!canRunOn(task, server, now) || (task.isExclusive && !isOwnCall))
            continue;
        const double bytes = task.work.resultBytes;
        bool hasChosen = false;
        while (!task.waitingPieces.empty() && chosenPieces.size() < limit && bytes <= freeBytes) {
            freeBytes -= bytes;
            chosenPieces.push_back({ id, *task.waitingPieces.begin(), bytes });
            task.waitingPieces.erase(task.waitingPieces.begin());
            ++task.runningPieces;
            hasChosen = true;
        }
        if (hasChosen && bytes >= m_options.minColocatedBytes && task.work.preferredDomain.empty()) {
            task.work.preferredDomain = server.server.domain;
            task.preferredDomainUntil
                = std::min(now + m_options.preferredDomainWait, task.latestObjectiveStart);
        }
        if (chosenPieces.size() == limit || (task.isExclusive && hasChosen))
            break;
    }
    return chosenPieces;
}

PlannedCall StageScheduler::startCall(
    Server& server, std::vector<CallPiece> pieces, TimePoint now)
{
    const double expectedMilliseconds = expectedCallMilliseconds(pieces.size());
    PlannedCall call { .id = m_nextCall++, .server = server.server };
    call.timeout = ceilMilliseconds(expectedMilliseconds * std::max(server.slowdownFactor, 1.0)
                       * m_options.timeoutFactor)
        + m_options.timeoutMargin;
    for (const CallPiece& piece : pieces) {
        const Task& task = m_tasks.at(piece.task);
        m_resultCapacity.reserve(server.server.id, piece.resultBytes);
        call.pieces.push_back({ .requestId = task.work.requestId,
            .fingerprint = task.work.fingerprint,
            .stage = task.work.stage,
            .piece = piece.piece,
            .callerTimeLeft = std::chrono::floor<Milliseconds>(task.callerLeavesAt - now),
            .pieceKey = task.work.pieceKey,
            .inputs = task.work.inputs });
    }
    server.call = call.id;
    const double overdueMilliseconds
        = expectedMilliseconds * std::max(server.slowdownFactor, 1.0) * m_options.overdueFactor;
    m_calls[call.id] = { .server = server.server.id,
        .pieces = std::move(pieces),
        .startedAt = now,
        .expectedTime = ceilMilliseconds(expectedMilliseconds),
        .overdueAt = now + ceilMilliseconds(overdueMilliseconds) + m_options.overdueMargin };
    return call;
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
    server.slowdownFactor += m_options.slowdownFactorWeight
        * (slowdownFactorOf(call.startedAt, call.expectedTime, now) - server.slowdownFactor);
    for (std::size_t index = 0; index < results.size(); ++index)
        applyResult(call, call.pieces[index], results[index], now);
    updateCapacity(server, results, now);
}

void StageScheduler::updateCapacity(
    Server& server, const std::vector<PieceResult>& results, TimePoint now)
{
    const auto piecesWithoutCapacity = static_cast<std::size_t>(
        std::count_if(results.begin(), results.end(), [](const PieceResult& result) {
            return result.outcome == PieceOutcome::NoCapacity;
        }));
    m_resultCapacity.onCallEnded(server.server.id, piecesWithoutCapacity > 0, now);
    if (2 * piecesWithoutCapacity < results.size()) {
        server.consecutiveFullCalls = 0;
        return;
    }
    constexpr int maxDoublings = 6;
    const Milliseconds pause
        = m_options.fullPause * (1 << std::min(server.consecutiveFullCalls++, maxDoublings));
    server.pausedUntil = now + std::min(pause, m_options.maxFullPause);
}

void StageScheduler::onCallFailed(std::uint64_t id, StageCallFailure failure, TimePoint now)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    const Call call = found->second;
    endCall(found);
    Server& server = m_servers.at(call.server);
    // The pause of a limited server depends on its next permit; see pauseServers().
    if (failure != StageCallFailure::Limited)
        server.pausedUntil = now
            + (failure == StageCallFailure::Refused ? m_options.fullPause : m_options.failurePause);
    if (failure == StageCallFailure::TimedOut)
        server.slowdownFactor = std::max(
            server.slowdownFactor, slowdownFactorOf(call.startedAt, call.expectedTime, now));
    for (const CallPiece& piece : call.pieces)
        m_resultCapacity.cancelReservation(call.server, piece.resultBytes);
    if (failure == StageCallFailure::Broken)
        return onCallBroken(call);
    for (const CallPiece& piece : call.pieces) {
        const auto task = m_tasks.find(piece.task);
        if (task == m_tasks.end() || call.isOverdue)
            continue;
        if (failure == StageCallFailure::Refused || failure == StageCallFailure::Limited)
            requeuePiece(task->second, piece.piece);
        else
            onPieceFailed(piece.task, task->second, piece.piece);
    }
}

void StageScheduler::onCallBroken(const Call& call)
{
    std::set<TaskId> tasks;
    for (const CallPiece& piece : call.pieces) {
        const auto task = m_tasks.find(piece.task);
        if (task == m_tasks.end())
            continue;
        tasks.insert(piece.task);
        if (!call.isOverdue)
            requeuePiece(task->second, piece.piece);
    }
    for (const TaskId id : tasks) {
        Task& task = m_tasks.at(id);
        ++task.brokenCalls;
        task.isExclusive = task.isExclusive || task.brokenCalls >= m_options.exclusiveBrokenCalls;
        if (task.work.isProbation)
            endTask(id, { .outcome = StageWorkOutcome::Poisoned });
        else if (task.brokenCalls >= m_options.attemptLimit)
            endTask(id, { .outcome = StageWorkOutcome::Failed });
    }
}

void StageScheduler::endCall(std::map<std::uint64_t, Call>::iterator call)
{
    m_servers.at(call->second.server).call.reset();
    m_calls.erase(call);
}

void StageScheduler::applyResult(
    const Call& call, const CallPiece& piece, const PieceResult& result, TimePoint now)
{
    if (result.outcome == PieceOutcome::Done)
        m_resultCapacity.addResult(result.handle, call.server, piece.resultBytes, call.startedAt, now);
    else
        m_resultCapacity.cancelReservation(call.server, piece.resultBytes);
    const auto found = m_tasks.find(piece.task);
    if (found == m_tasks.end()) {
        if (result.outcome == PieceOutcome::Done)
            m_unclaimedResults.push_back(result.handle);
        return;
    }
    Task& task = found->second;
    if (result.outcome == PieceOutcome::Done) {
        if (!call.isOverdue)
            --task.runningPieces;
        return storeHandle(piece, result.handle);
    }
    // The pieces of an overdue call were requeued when it became overdue.
    if (call.isOverdue)
        return;
    switch (result.outcome) {
    case PieceOutcome::Done:
        return;
    case PieceOutcome::Late:
        return endTask(piece.task, { .outcome = StageWorkOutcome::Late });
    case PieceOutcome::InputGone:
        return endTask(piece.task, { .outcome = StageWorkOutcome::InputGone });
    case PieceOutcome::NoCapacity:
        return requeuePiece(task, piece.piece);
    case PieceOutcome::Failed:
        return onPieceFailed(piece.task, task, piece.piece);
    }
}

void StageScheduler::storeHandle(const CallPiece& piece, const std::string& handle)
{
    Task& task = m_tasks.at(piece.task);
    std::string& storedHandle = task.handles.at(piece.piece);
    if (!storedHandle.empty()) {
        m_unclaimedResults.push_back(handle);
        return;
    }
    storedHandle = handle;
    task.waitingPieces.erase(piece.piece);
    if (task.isDone())
        completeTask(piece.task, task);
}

void StageScheduler::requeuePiece(Task& task, int piece)
{
    --task.runningPieces;
    if (task.handles.at(piece).empty())
        task.waitingPieces.insert(piece);
}

void StageScheduler::requeueOverdueCalls(TimePoint now)
{
    for (auto& [id, call] : m_calls) {
        if (call.isOverdue || now < call.overdueAt)
            continue;
        call.isOverdue = true;
        Server& server = m_servers.at(call.server);
        server.slowdownFactor = std::max(
            server.slowdownFactor, slowdownFactorOf(call.startedAt, call.expectedTime, now));
        for (const CallPiece& piece : call.pieces) {
            const auto task = m_tasks.find(piece.task);
            if (task != m_tasks.end())
                requeuePiece(task->second, piece.piece);
        }
    }
}

void StageScheduler::onPieceFailed(TaskId id, Task& task, int piece)
{
    requeuePiece(task, piece);
    if (++task.pieceFailures >= m_options.attemptLimit * task.work.pieces)
        endTask(id, { .outcome = StageWorkOutcome::Failed });
}

}
