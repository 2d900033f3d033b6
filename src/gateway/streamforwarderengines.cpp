#include "gateway/streamforwarder.h"

#include "libserving/streamversion.h"

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Number of engines whose permits are requested before the stages run.
    constexpr std::size_t maxPermitRequests = 3;

}

std::vector<const KnownServer*> StreamForwarder::usableEngines(
    const ServedRequest& request, const StreamProgress& progress) const
{
    // A stream goes on at the version that began it, whatever version is rolled out.
    std::vector<const KnownServer*> engines = progress.version
        ? m_view.servers().usable(request.pool, RuntimeClock::now())
        : m_backendCaller.rollouts().usableServers(request.pool, request.caller.id, progress.outcome.sends > 0);
    if (progress.version)
        std::erase_if(engines, [&progress](const KnownServer* engine) {
            return !canContinueStream(*progress.version, engine->server.softwareVersion);
        });
    return engines;
}

bool StreamForwarder::hasUntriedEngine(const ServedRequest& request, const StreamProgress& progress) const
{
    const auto engines = usableEngines(request, progress);
    return std::any_of(engines.begin(), engines.end(), [&progress](const KnownServer* engine) {
        return !progress.tried.contains(engine->server.id);
    });
}

FailureDomainId StreamForwarder::expectedEngineDomain(
    const ServedRequest& request, const StreamProgress& progress) const
{
    const auto engines = m_placement.rank(request.caller, usableEngines(request, progress), {},
        m_backendCaller.tracker(), RuntimeClock::now());
    return engines.empty() ? FailureDomainId() : engines.front()->server.domain;
}

Asio::awaitable<void> StreamForwarder::reservePermit(const ServedRequest& request, StreamProgress& progress)
{
    LimitPermits& limits = m_backendCaller.limits();
    const auto engines = m_placement.rank(request.caller, usableEngines(request, progress), {},
        m_backendCaller.tracker(), RuntimeClock::now());
    const bool areResting = !engines.empty()
        && std::all_of(engines.begin(), engines.end(), [this](const KnownServer* engine) {
               return m_backendCaller.statements().isResting(startOf(engine->server));
           });
    if (areResting) {
        progress.refusal = GatewayRefusal::Resting;
        co_return;
    }
    std::vector<ServerEntry> candidates;
    for (const KnownServer* engine : engines) {
        if (!limits.isLimited(engine->server))
            co_return;
        if (limits.mayAcquire(engine->server))
            candidates.push_back(engine->server);
        else
            progress.outcome.limited.insert(engine->server.id);
    }
    if (engines.empty())
        co_return;
    candidates.resize(std::min(candidates.size(), maxPermitRequests));
    for (const ServerEntry& engine : candidates) {
        if (co_await limits.acquire(engine)) {
            progress.permit = engine.id;
            co_return;
        }
        progress.outcome.limited.insert(engine.id);
    }
    progress.refusal = GatewayRefusal::Limited;
}

Asio::awaitable<bool> StreamForwarder::acquirePermit(StreamProgress& progress, ServerEntry engine)
{
    if (progress.permit == engine.id) {
        progress.permit.reset();
        co_return true;
    }
    const BackendServerId id = engine.id;
    const bool isAcquired = co_await m_backendCaller.limits().acquire(std::move(engine));
    if (!isAcquired)
        progress.outcome.limited.insert(id);
    co_return isAcquired;
}

const KnownServer* StreamForwarder::chooseEngine(const ServedRequest& request, StreamProgress& progress)
{
    const TimePoint now = RuntimeClock::now();
    auto engines = m_placement.rank(request.caller, usableEngines(request, progress),
        progress.stages.inputBytes, m_backendCaller.tracker(), now);
    std::stable_partition(engines.begin(), engines.end(), [&](const KnownServer* engine) {
        return m_backendCaller.rollouts().isPreferred(engine->server, request.caller.id, progress.outcome.sends > 0);
    });
    const bool isPermitUsable = std::any_of(engines.begin(), engines.end(),
        [&progress](const KnownServer* engine) { return engine->server.id == progress.permit; });
    for (const KnownServer* engine : engines) {
        const BackendServerId& id = engine->server.id;
        if (progress.tried.contains(id) || (progress.permit && progress.permit != id && isPermitUsable))
            continue;
        if (progress.permit != id
            && !checkAvailability(m_backendCaller.statements(), engine->server, progress.outcome))
            continue;
        if (!m_backendCaller.mayReceiveWhileCold(*engine, now))
            continue;
        return engine;
    }
    return nullptr;
}

}
