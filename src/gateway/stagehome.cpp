#include "gateway/stagehome.h"

#include "gateway/stagelogs.h"
#include "libnet/log.h"
#include "libserving/stagegroups.h"
#include "libserving/stageresponse.h"
#include "platform/stagetranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <set>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Releases are collected for this long and sent in one call to each server.
    constexpr Milliseconds releaseBatchDelay { 20 };
    // Time after which releases that their server did not permit are tried again.
    constexpr Milliseconds delayedReleaseDelay { 400 };

    // Returns nothing if the body of the response cannot be read.
    std::optional<std::vector<PieceResult>> tryReadPieceResults(const HttpResponse& response)
    {
        try {
            return Platform::readPieceResults(response.body);
        } catch (const std::exception&) {
            // The kind of the response says so, in the log too.
            return std::nullopt;
        }
    }

    // The endpoint of the server that holds a result: the part of its handle before the slash.
    std::optional<Endpoint> endpointOfHandle(const std::string& handle)
    {
        return parseEndpoint(std::string_view(handle).substr(0, handle.find('/')));
    }

}

StageHome::StageHome(Asio::io_context& context, ServingView& view, BackendCaller& backendCaller,
    const PoisonTable& poison)
    : m_context(context)
    , m_view(view)
    , m_backendCaller(backendCaller)
    , m_poison(poison)
{
}

StageHome::Group* StageHome::findGroup(const PoolId& pool, int group)
{
    const auto config = m_view.config();
    const Pool* definition = config ? config->findPool(pool) : nullptr;
    if (!definition || !definition->stage)
        return nullptr;
    std::unique_ptr<Group>& entry = m_groups[{ pool, group }];
    if (!entry)
        entry = std::make_unique<Group>(m_context, *definition->stage);
    entry->scheduler.setTraits(*definition->stage);
    return entry.get();
}

void StageHome::refreshServers(const GroupKey& key, Group& group)
{
    ServerDirectory& directory = m_view.servers();
    const auto servers = directory.usable(key.first, RuntimeClock::now());
    if (group.serversGeneration == directory.generation())
        return;
    group.serversGeneration = directory.generation();
    m_receivedHandles.retain(directory);
    const StageGroups groups(directory.notDraining(key.first));
    std::vector<StageServer> members;
    for (const KnownServer* known : servers) {
        const ServerEntry& server = known->server;
        if (groups.groupOf(server) == key.second)
            members.push_back({ server.id, server.endpoint, server.domain, server.startedAt });
    }
    group.scheduler.setServers(members);
}

Asio::awaitable<StageWorkResult> StageHome::run(StageWork work, std::shared_ptr<HttpCancel> cancel)
{
    // Servers of a group that only this host does not reach are called through peers.
    if (m_isStopping || m_backendCaller.links().isCutOff())
        co_return StageWorkResult { .outcome = StageWorkOutcome::HandedOver };
    co_return co_await runEvenIfStopping(std::move(work), std::move(cancel));
}

Asio::awaitable<StageWorkResult> StageHome::runEvenIfStopping(
    StageWork work, std::shared_ptr<HttpCancel> cancel)
{
    const GroupKey key { work.pool, work.group };
    Group* group = findGroup(key.first, key.second);
    if (!group || cancel->isCancelled())
        co_return StageWorkResult {};
    if (!work.isProbation && m_poison.isRefused(work.fingerprint, RuntimeClock::now()))
        co_return StageWorkResult { .outcome = StageWorkOutcome::Poisoned };
    refreshServers(key, *group);
    const std::uint64_t taskId = m_nextTaskId++;
    const StageWork submitted = work;
    if (auto refused = group->scheduler.submit(taskId, std::move(work), RuntimeClock::now())) {
        logFailedWork(submitted, group->scheduler, refused->outcome);
        co_return *refused;
    }
    auto waiter = std::make_shared<Waiter>(m_context);
    group->waiters[taskId] = waiter;
    cancel->setAction([this, key, taskId, waiter] {
        waiter->result = StageWorkResult {};
        waiter->ended.notifyAll();
        m_groups.at(key)->scheduler.cancel(taskId);
        advance(key);
    });
    advance(key);
    while (!waiter->result)
        co_await waiter->ended.wait();
    cancel->setAction(nullptr);
    m_groups.at(key)->waiters.erase(taskId);
    if (waiter->result->outcome != StageWorkOutcome::Done && !cancel->isCancelled())
        logFailedWork(submitted, group->scheduler, waiter->result->outcome);
    if (waiter->result->outcome == StageWorkOutcome::Done)
        m_backendCaller.reportFinished({ { submitted.fingerprint } }, submitted.stage);
    co_return *waiter->result;
}

void StageHome::stop()
{
    m_isStopping = true;
    for (const auto& [key, group] : m_groups)
        handOverWaiting(key, *group);
}

void StageHome::onLinksChanged()
{
    if (!m_backendCaller.links().isCutOff())
        return;
    for (const auto& [key, group] : m_groups)
        handOverWaiting(key, *group);
}

void StageHome::handOverWaiting(const GroupKey& key, Group& group)
{
    writeLog(LogLevel::Info, "stage_work_handed_over",
        { { "pool", key.first.value() }, { "group", key.second },
            { "waiting_pieces", group.scheduler.waitingPieces() }, { "stopping", m_isStopping } });
    group.scheduler.handOverWaiting();
    advance(key);
}

void StageHome::onPoisonChanged()
{
    for (const auto& [key, group] : m_groups)
        advance(key);
}

StageWorkPermit StageHome::permitFor(Fingerprint fingerprint, TimePoint now) const
{
    const std::optional<PoisonState> state = m_poison.stateOf(fingerprint, now);
    if (!state)
        return StageWorkPermit::Shared;
    return state == PoisonState::Refused ? StageWorkPermit::Poisoned : StageWorkPermit::Exclusive;
}

void StageHome::advance(const GroupKey& key)
{
    Group& group = *m_groups.at(key);
    const TimePoint now = RuntimeClock::now();
    refreshServers(key, group);
    if (m_poison.size() > 0)
        group.scheduler.applyPermits(
            [this, now](Fingerprint fingerprint) { return permitFor(fingerprint, now); });
    ServerStatements& statements = m_backendCaller.statements();
    if (statements.hasRestrictions())
        group.scheduler.pauseServers([&statements](const StageServer& server) {
            return statements.availableAt({ server.id, server.startedAt });
        });
    pauseRolloutTargets(key, group, now);
    for (PlannedCall& planned : group.scheduler.planCalls(now))
        Asio::co_spawn(m_context, callServer(key, std::move(planned)), Asio::detached);
    for (StageScheduler::EndedTask& ended : group.scheduler.drainEnded(now)) {
        const auto waiter = group.waiters.find(ended.task);
        if (waiter == group.waiters.end())
            continue;
        waiter->second->result = std::move(ended.result);
        waiter->second->ended.notifyAll();
    }
    const std::vector<std::string> unclaimed = group.scheduler.drainUnclaimedResults();
    if (!unclaimed.empty())
        release(key.first, key.second, unclaimed);
    const std::optional<TimePoint> next = group.scheduler.nextEvent(now);
    if (!next)
        return;
    group.timer.expires_at(*next);
    group.timer.async_wait([this, key](boost::system::error_code error) {
        if (!error)
            advance(key);
    });
}

void StageHome::reportRuns(const PlannedCall& planned, RunEnd end, TimePoint sentAt)
{
    std::set<std::pair<Fingerprint, int>> stages;
    for (const PlannedPiece& piece : planned.pieces)
        stages.emplace(piece.fingerprint, piece.stage);
    for (const auto& [fingerprint, stage] : stages)
        m_backendCaller.reportRun({ .fingerprint = fingerprint,
            .stage = stage,
            .server = { planned.server.id, planned.server.startedAt },
            .endpoint = planned.server.endpoint,
            .end = end,
            .sentAt = sentAt });
}

Asio::awaitable<void> StageHome::callServer(GroupKey key, PlannedCall planned)
{
    const TimePoint sentAt = RuntimeClock::now();
    bool isSent = false;
    RunEnd end = RunEnd::Complete;
    std::optional<std::vector<PieceResult>> results;
    StageCallFailure failure = StageCallFailure::Broken;
    std::string reason;
    ServerEntry server { .id = planned.server.id,
        .pool = key.first,
        .endpoint = planned.server.endpoint,
        .startedAt = planned.server.startedAt };
    if (const auto known = m_view.servers().all().find(server.id); known != m_view.servers().all().end())
        server.softwareVersion = known->second.server.softwareVersion;
    RolloutObserver& rollouts = m_backendCaller.rollouts();
    rollouts.routing().onCalled(key.first, server.softwareVersion);
    const std::shared_ptr<void> run = rollouts.trackRun(server);
    if (!co_await m_backendCaller.limits().acquire(server)) {
        m_groups.at(key)->scheduler.onCallFailed(planned.id, StageCallFailure::Limited, RuntimeClock::now());
        co_return advance(key);
    }
    try {
        HttpCall call
            = Platform::makeStageCall(planned.server.id, planned.pieces, planned.timeout);
        StageResponse own;
        const ResponseCheck isOwn = [&](const HttpResponse& response) {
            results = tryReadPieceResults(response);
            own = classifyStageResponse(response.status, results, planned.pieces.size(),
                { planned.server.id, planned.server.startedAt }, m_receivedHandles);
            return own.isRecognizable;
        };
        co_await m_backendCaller.call(server, std::move(call), isSent, isOwn);
        if (own.kind != StageResponseKind::Results)
            results.reset();
        if (own.kind == StageResponseKind::Refused)
            failure = StageCallFailure::Refused;
        // The other connections to this server may be one response behind as well.
        if (own.kind == StageResponseKind::Foreign)
            m_backendCaller.closeIdleConnections(planned.server.endpoint);
        reason = std::move(own.reason);
    } catch (const boost::system::system_error& error) {
        reason = error.code().message();
        end = runEndOf(error.code());
        if (error.code() == boost::beast::error::timeout)
            failure = StageCallFailure::TimedOut;
        else if (!isSent)
            failure = StageCallFailure::NotSent;
    } catch (const std::exception& error) {
        reason = error.what();
        failure = StageCallFailure::Broken;
    }
    if (isSent)
        reportRuns(planned, end, sentAt);
    recordRolloutAnswer(key.first, planned, server, results, failure, sentAt);
    StageScheduler& scheduler = m_groups.at(key)->scheduler;
    if (!results || countPieces(*results, PieceOutcome::Done) < results->size())
        logIncompleteCall(
            key.first, planned, results, scheduler.resultBytesUsed(planned.server.id), reason);
    if (results)
        scheduler.onCallAnswered(planned.id, *results, RuntimeClock::now());
    else
        scheduler.onCallFailed(planned.id, failure, RuntimeClock::now());
    advance(key);
}

void StageHome::release(
    const PoolId& pool, int groupIndex, const std::vector<std::string>& handles)
{
    const GroupKey key { pool, groupIndex };
    Group* group = findGroup(pool, groupIndex);
    if (!group)
        return;
    const TimePoint now = RuntimeClock::now();
    const TimePoint expiresAt = now + m_view.config()->findPool(pool)->stage->resultLifetime;
    for (const std::string& handle : handles) {
        group->scheduler.onResultReleased(handle, now);
        group->releases.push_back({ handle, expiresAt });
    }
    scheduleReleases(key, releaseBatchDelay);
}

void StageHome::scheduleReleases(const GroupKey& key, Milliseconds delay)
{
    Group& group = *m_groups.at(key);
    if (std::exchange(group.isReleasing, true))
        return;
    Asio::co_spawn(m_context, sendReleases(key, delay), Asio::detached);
}

Asio::awaitable<bool> StageHome::mayRelease(Endpoint endpoint)
{
    if (!m_backendCaller.statements().hasRestrictions())
        co_return true;
    const KnownServer* known = m_view.servers().findByAddress(endpoint);
    if (!known)
        co_return true;
    if (m_backendCaller.statements().isResting(startOf(known->server)))
        co_return false;
    ServerEntry server = known->server;
    co_return co_await m_backendCaller.limits().acquire(std::move(server));
}

Asio::awaitable<void> StageHome::sendReleases(GroupKey key, Milliseconds delay)
{
    Group& group = *m_groups.at(key);
    group.releaseTimer.expires_after(delay);
    boost::system::error_code ignored;
    co_await group.releaseTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    group.isReleasing = false;
    std::map<Endpoint, std::vector<PendingRelease>> byServer;
    for (PendingRelease& release : std::exchange(group.releases, {})) {
        const std::optional<Endpoint> endpoint = endpointOfHandle(release.handle);
        if (endpoint && RuntimeClock::now() < release.expiresAt)
            byServer[*endpoint].push_back(std::move(release));
    }
    std::vector<PendingRelease> delayed;
    for (auto& [endpoint, releases] : byServer) {
        Endpoint address = endpoint;
        if (!co_await mayRelease(std::move(address))) {
            std::move(releases.begin(), releases.end(), std::back_inserter(delayed));
            continue;
        }
        std::vector<std::string> handles;
        for (PendingRelease& release : releases)
            handles.push_back(std::move(release.handle));
        try {
            const ResponseCheck isOwn = Platform::isReleaseResponse;
            HttpCall call = Platform::makeReleaseCall(handles);
            co_await m_backendCaller.callWithoutCheck(endpoint, std::move(call), isOwn);
        } catch (const std::exception&) {
            // The server drops the results when their lifetime expires, or has already stopped.
        }
    }
    if (!delayed.empty()) {
        std::move(delayed.begin(), delayed.end(), std::back_inserter(group.releases));
        scheduleReleases(key, delayedReleaseDelay);
    }
    advance(key);
}

std::size_t StageHome::waitingPieces() const
{
    std::size_t pieces = 0;
    for (const auto& [key, group] : m_groups)
        pieces += group->scheduler.waitingPieces();
    return pieces;
}

}
