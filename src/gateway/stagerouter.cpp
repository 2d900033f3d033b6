#include "gateway/stagerouter.h"

#include "libapricot/rendezvous.h"
#include "libnet/log.h"
#include "libserving/stagegroups.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <utility>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds connectTimeout { 250 };
    // Time for which a home that did not respond is avoided.
    constexpr Milliseconds avoidanceTime { 1500 };
    // Number of homes that are tried for one stage, and of those that may not respond. Hosts that cannot serve a group
    // respond at once.
    constexpr std::size_t maxHomes = 8;
    constexpr int maxSilentHomes = 3;
    // A backlog is discarded as stale after this time without an update.
    constexpr Milliseconds backlogLifetime { 1000 };

}

StageRouter::StageRouter(Asio::io_context& context, HostId self, ServingView& view,
    StageHome& home, PeerClient& peers)
    : m_context(context)
    , m_self(std::move(self))
    , m_view(view)
    , m_home(home)
    , m_peers(peers)
{
}

std::array<int, 2> StageRouter::pickGroups(
    const PoolId& pool, const std::string& requestId, const FailureDomainId& domain) const
{
    const StageGroups groups(m_view.servers().notDraining(pool));
    const auto usable = m_view.servers().usable(pool, RuntimeClock::now());
    return { groups.pickGroup(requestId, 0, domain, usable),
        groups.pickGroup(requestId, 1, FailureDomainId(), usable) };
}

const std::vector<HostId>& StageRouter::rankedHomes(const PoolId& pool, int group)
{
    if (std::exchange(m_rankedGeneration, m_view.hostsGeneration()) != m_view.hostsGeneration())
        m_rankedHomes.clear();
    std::vector<HostId>& ranked = m_rankedHomes[{ pool, group }];
    if (!ranked.empty())
        return ranked;
    std::vector<HostId> hosts = m_view.hostIds();
    if (!m_view.hosts().contains(m_self))
        hosts.push_back(m_self);
    ranked = rankHosts(pool.value() + "#" + std::to_string(group), hosts);
    return ranked;
}

std::vector<HostId> StageRouter::candidateHomes(const PoolId& pool, int group)
{
    const TimePoint now = RuntimeClock::now();
    std::vector<HostId> order;
    const std::vector<HostId>& ranked = rankedHomes(pool, group);
    for (const bool takesAvoided : { false, true }) {
        for (const HostId& host : ranked) {
            if (order.size() == maxHomes)
                return order;
            const auto avoided = m_avoidedUntil.find(host);
            const bool isAvoided = avoided != m_avoidedUntil.end() && avoided->second > now;
            if (isAvoided == takesAvoided)
                order.push_back(host);
        }
    }
    return order;
}

Asio::awaitable<StageWorkResult> StageRouter::run(
    StageWork work, std::shared_ptr<HttpCancel> cancel, HostId& ranOnHost)
{
    const std::pair group(work.pool, work.group);
    StageWorkResult result = co_await runAtHome(std::move(work), std::move(cancel), ranOnHost);
    m_backlogs[group] = { result.backlog, RuntimeClock::now() };
    co_return result;
}

Milliseconds StageRouter::expectedWait(const PoolId& pool, int group, int rank) const
{
    const auto recorded = m_backlogs.find({ pool, group });
    if (recorded == m_backlogs.end()
        || RuntimeClock::now() > recorded->second.recordedAt + backlogLifetime)
        return Milliseconds(0);
    Milliseconds wait { 0 };
    for (const StageBacklog& entry : recorded->second.backlog) {
        if (entry.rank <= rank)
            wait = entry.wait;
    }
    return wait;
}

Asio::awaitable<StageWorkResult> StageRouter::runAtHome(
    StageWork work, std::shared_ptr<HttpCancel> cancel, HostId& ranOnHost)
{
    int silentHomes = 0;
    for (const HostId& host : candidateHomes(work.pool, work.group)) {
        if (cancel->isCancelled() || silentHomes == maxSilentHomes)
            break;
        ranOnHost = host;
        const TimePoint startedAt = RuntimeClock::now();
        std::optional<StageWorkResult> result;
        if (host == m_self)
            result = co_await m_home.run(work, cancel);
        else
            result = co_await runAtPeer(host, work, cancel);
        if (result && result->outcome != StageWorkOutcome::HandedOver)
            co_return *result;
        silentHomes += result ? 0 : 1;
        const TimePoint now = RuntimeClock::now();
        m_avoidedUntil[host] = now + avoidanceTime;
        const auto elapsed = std::chrono::ceil<Milliseconds>(now - startedAt);
        writeLog(LogLevel::Info, "stage_home_avoided",
            { { "peer", host.value() }, { "request", work.requestId },
                { "answered", result.has_value() }, { "ms", elapsed.count() } });
        work.objectiveSlack -= elapsed;
        work.deadlineSlack -= elapsed;
        work.callerTimeLeft -= elapsed;
    }
    ranOnHost = m_self;
    co_return co_await m_home.runEvenIfStopping(std::move(work), std::move(cancel));
}

Asio::awaitable<std::optional<StageWorkResult>> StageRouter::runAtPeer(
    HostId host, StageWork work, std::shared_ptr<HttpCancel> cancel)
{
    const auto known = m_view.hosts().find(host);
    if (known == m_view.hosts().end())
        co_return std::nullopt;
    try {
        Message request = StageWorkMessage { std::move(work) };
        const std::shared_ptr<PeerStream> stream = co_await m_peers.open(
            known->second.endpoint, std::move(request), connectTimeout);
        cancel->setAction([stream] { stream->cancel(); });
        const std::optional<Message> response = co_await stream->read();
        cancel->setAction(nullptr);
        if (response && std::holds_alternative<StageResultMessage>(*response))
            co_return std::get<StageResultMessage>(*response).result;
    } catch (const std::exception&) {
        if (cancel->isCancelled())
            co_return StageWorkResult {};
    }
    co_return std::nullopt;
}

void StageRouter::release(const StageResults& results)
{
    if (results.handles.empty())
        return;
    const auto known = m_view.hosts().find(results.home);
    // A home that has left can't release results at its servers; this host does.
    if (results.home == m_self || known == m_view.hosts().end())
        return m_home.release(results.pool, results.group, results.handles);
    Asio::co_spawn(m_context, sendRelease(known->second.endpoint, results), Asio::detached);
}

Asio::awaitable<void> StageRouter::sendRelease(Endpoint endpoint, StageResults results)
{
    try {
        Message message
            = ReleaseResultsMessage { results.pool, results.group, results.handles };
        const auto stream
            = co_await m_peers.open(std::move(endpoint), std::move(message), connectTimeout);
        stream->finish();
        co_await stream->read();
    } catch (const std::exception&) {
        m_home.release(results.pool, results.group, results.handles);
    }
}

Asio::awaitable<void> StageRouter::serve(std::shared_ptr<PeerStream> stream, StageWork work)
{
    auto cancel = std::make_shared<HttpCancel>();
    // The requesting host sends nothing more; its stream breaks when the caller disconnects or the host
    // stops.
    Asio::co_spawn(
        m_context,
        [stream, cancel]() -> Asio::awaitable<void> {
            try {
                co_await stream->read();
            } catch (const std::exception&) {
                cancel->cancel();
            }
        },
        Asio::detached);
    StageWorkResult result = co_await m_home.run(std::move(work), cancel);
    if (cancel->isCancelled())
        co_return;
    Message response = StageResultMessage { std::move(result) };
    co_await stream->write(std::move(response));
}

}
