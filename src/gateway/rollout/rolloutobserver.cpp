#include "gateway/rollout/rolloutobserver.h"

#include "gateway/rollout/unixtime.h"
#include "libnet/log.h"
#include "libserving/rollout/rolloutassessment.h"

#include <boost/json/object.hpp>

namespace Apricot {

namespace {

    void logState(const StoredRollout& rollout)
    {
        boost::json::object fields { { "pool", rollout.order.pool.value() },
            { "target", rollout.order.target.value() }, { "limit_ms", rollout.order.timeLimit.count() },
            { "revision", rollout.revision } };
        if (rollout.status) {
            fields["state"] = rolloutStateName(rollout.status->state);
            fields["phase"] = rolloutPhaseName(rollout.status->phase);
            fields["reason"] = rollout.status->reason;
        } else {
            fields["state"] = "ordered";
        }
        writeLog(LogLevel::Info, "rollout_changed", fields);
    }

}

RolloutObserver::RolloutObserver(ServingView& view, MetricRegistry& metrics)
    : m_view(view)
    , m_metrics(metrics)
{
}

void RolloutObserver::apply(const StoredRollout& rollout)
{
    const PoolId& pool = rollout.order.pool;
    const bool isChanged = m_routing.put(rollout, unixMilliseconds(), RuntimeClock::now());
    // The store may have lost a final state, which changes nothing here.
    if (m_changeHandler)
        m_changeHandler();
    if (!isChanged)
        return;
    if (const auto found = m_observations.find(pool); found == m_observations.end() || found->second.order != rollout.order)
        m_observations[pool] = { .order = rollout.order };
    logState(rollout);
    refresh();
}

void RolloutObserver::remove(const PoolId& pool)
{
    m_routing.remove(pool, RuntimeClock::now());
    m_observations.erase(pool);
    writeLog(LogLevel::Info, "rollout_removed", { { "pool", pool.value() } });
    refresh();
}

void RolloutObserver::applyFault(const RolloutOrder& order, const std::string& reason, std::string_view source)
{
    if (!m_routing.recordFault(order, reason))
        return;
    writeLog(LogLevel::Warning, "rollout_target_stopped",
        { { "pool", order.pool.value() }, { "target", order.target.value() }, { "reason", reason },
            { "source", source } });
    refresh();
}

void RolloutObserver::refresh()
{
    if (!isEnabled())
        return;
    const auto config = m_view.config();
    auto excluded = m_routing.excludedServers(m_view.servers(), config.get(), RuntimeClock::now());
    const std::size_t count = excluded.size();
    if (m_view.servers().setExcludedServers(std::move(excluded)))
        writeLog(LogLevel::Info, "rollout_servers_excluded", { { "servers", count } });
}

std::vector<const KnownServer*> RolloutObserver::usableServers(
    const PoolId& pool, std::string_view requestId, bool isRepeat)
{
    const TimePoint now = RuntimeClock::now();
    std::vector<const KnownServer*> servers = m_view.servers().usable(pool, now);
    if (m_routing.known().empty())
        return servers;
    return m_routing.select(std::move(servers), pool, m_routing.choiceFor(pool, requestId, isRepeat, now));
}

bool RolloutObserver::isPreferred(const ServerEntry& server, std::string_view requestId, bool isRepeat) const
{
    return m_routing.choiceFor(server.pool, requestId, isRepeat, RuntimeClock::now()) == VersionChoice::TargetFirst
        && m_routing.isTarget(server.pool, server.softwareVersion);
}

RolloutObserver::Observations* RolloutObserver::observationsOf(const ServerEntry& server)
{
    if (m_observations.empty())
        return nullptr;
    const auto found = m_observations.find(server.pool);
    const auto known = m_routing.known().find(server.pool);
    if (found == m_observations.end() || known == m_routing.known().end() || known->second.stored.isEnded())
        return nullptr;
    return &found->second;
}

const char* RolloutObserver::sideName(const ServerEntry& server) const
{
    return m_routing.isTarget(server.pool, server.softwareVersion) ? "target" : "replaced";
}

std::shared_ptr<void> RolloutObserver::trackRun(const ServerEntry& server)
{
    const Observations* observations = observationsOf(server);
    if (!observations)
        return nullptr;
    m_metrics
        .counter("apricot_rollout_sends_total", "Requests and calls of a pool whose version is being moved.",
            { { "pool", server.pool.value() }, { "version", sideName(server) } })
        .add();
    if (m_routing.isTarget(server.pool, server.softwareVersion))
        return nullptr;
    const std::shared_ptr<std::size_t> runs = observations->runsAtReplaced;
    ++*runs;
    return { nullptr, [runs](void*) { --*runs; } };
}

AnswerCounts& RolloutObserver::countsOf(
    RolloutEvidence& evidence, const std::string& route, const ServerEntry& server) const
{
    RouteEvidence& counts = evidence.route(route);
    return m_routing.isTarget(server.pool, server.softwareVersion) ? counts.target : counts.replaced;
}

void RolloutObserver::countAnswer(const ServerEntry& server, const char* outcome)
{
    m_metrics
        .counter("apricot_rollout_answers_total", "Answers of a pool whose version is being moved.",
            { { "pool", server.pool.value() }, { "version", sideName(server) }, { "outcome", outcome } })
        .add();
}

void RolloutObserver::recordSuccess(const std::string& route, const ServerEntry& server, std::optional<Duration> duration)
{
    Observations* observations = observationsOf(server);
    if (!observations)
        return;
    countsOf(observations->unreported, route, server).recordSuccess(duration);
    countsOf(observations->own, route, server).recordSuccess(duration);
    countAnswer(server, "success");
}

void RolloutObserver::recordFailure(const std::string& route, const ServerEntry& server)
{
    Observations* observations = observationsOf(server);
    if (!observations)
        return;
    countsOf(observations->unreported, route, server).recordFailure(server.id);
    countsOf(observations->own, route, server).recordFailure(server.id);
    countAnswer(server, "failure");
    // In a shift no replaced version serves beside the target, so what one host sees is no comparison.
    const RolloutRouting::Known& known = m_routing.known().at(server.pool);
    if (known.stored.isShifting() || known.fault)
        return;
    if (const auto fault = findRolloutFault(observations->own))
        applyFault(observations->order, *fault, "this host");
}

std::vector<RolloutReport> RolloutObserver::drainReports()
{
    std::vector<RolloutReport> reports;
    const TimePoint now = RuntimeClock::now();
    for (auto& [pool, observations] : m_observations) {
        const auto known = m_routing.known().find(pool);
        if (known == m_routing.known().end() || known->second.stored.isEnded())
            continue;
        const bool isShifted = m_routing.choiceFor(pool, "", true, now) == VersionChoice::TargetOnly;
        reports.push_back({ .order = observations.order,
            .shiftedHosts = isShifted ? 1U : 0U,
            .inFlightAtReplaced = *observations.runsAtReplaced,
            .evidence = std::exchange(observations.unreported, {}),
            .fault = known->second.fault });
    }
    return reports;
}

}
