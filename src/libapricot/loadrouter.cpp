#include "libapricot/loadrouter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Inputs that agree in so many bytes share their prefix.
    constexpr std::size_t prefixBytes = 64;
    // Busy time in milliseconds assumed for a pool without any finished attempt.
    constexpr double unknownBusy = 20;

    double expectedCost(const PowerOfTwoChoices& policy, double load, double cap, double meanBusy,
        bool remote, bool holdsPrefix)
    {
        const double hop = std::chrono::duration<double, std::milli>(policy.remoteHop).count();
        const auto prefill = static_cast<double>(policy.prefillSaved.count());
        return meanBusy * (load + 1) / cap + (remote ? hop : 0) + (holdsPrefix ? 0 : prefill);
    }

}

LoadRouter::LoadRouter(LoadRouterOptions options)
    : m_options(options)
    , m_random(options.seed)
    , m_outliers(options.outliers)
{
}

std::optional<BackendServerId> LoadRouter::choose(const ControlView& view, const StageSpec& stage,
    const RequestKey& key, const std::vector<BackendServerId>& excluded, TimePoint now)
{
    return chooseForInput(view, stage, key, {}, excluded, now);
}

std::optional<BackendServerId> LoadRouter::chooseForInput(const ControlView& view,
    const StageSpec& stage, const RequestKey& /*key*/, std::string_view input,
    const std::vector<BackendServerId>& excluded, TimePoint now)
{
    Candidates found = candidates(view, stage, excluded, now);
    if (found.empty())
        return std::nullopt;
    if (!input.empty() && stage.kind == StageKind::Generate) {
        const std::uint64_t prefix = stableHash(input.substr(0, prefixBytes));
        const auto score = [prefix](const Candidate& candidate) {
            return stableHash(candidate.server->id.value(), prefix);
        };
        std::max_element(found.begin(), found.end(), [&score](const auto& left, const auto& right) {
            return score(left) < score(right);
        })->holdsPrefix
            = true;
    }
    const Candidate& chosen = std::visit(
        [&](const auto& policy) -> const Candidate& { return pick(policy, stage, found, now); },
        m_options.policy);
    m_loads[chosen.server->id].attemptChosen(now);
    return chosen.server->id;
}

void LoadRouter::report(const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
{
    m_loads[server].attemptEnded(outcome, now);
    m_outliers.report(outcome, server, now);
    if (outcome.cap > 0)
        m_laggingReports[server].load = outcome.load;
}

double LoadRouter::utilisation(const ControlView& view, const PoolId& pool, TimePoint now)
{
    double load = 0;
    double cap = 0;
    for (const BackendServerId& id : poolInService(*view.catalogue, pool)) {
        const BackendServer& server = view.catalogue->servers.at(id);
        load += m_loads[id].load(now);
        cap += std::min(m_loads[id].cap(server.coldCap), m_ramp.capOf(server, now));
    }
    return cap > 0 ? load / cap : 1;
}

std::vector<BackendServerId> LoadRouter::poolInService(
    const Catalogue& catalogue, const PoolId& pool)
{
    if (m_poolsVersion != catalogue.version) {
        m_pools.clear();
        for (const auto& [id, server] : catalogue.servers) {
            if (catalogue.isInService(server))
                m_pools[server.pool].push_back(id);
        }
        std::erase_if(m_loads, [&catalogue](const auto& entry) {
            return !catalogue.servers.contains(entry.first);
        });
        m_poolsVersion = catalogue.version;
    }
    const auto found = m_pools.find(pool);
    return found == m_pools.end() ? std::vector<BackendServerId> {} : found->second;
}

LoadRouter::Candidates LoadRouter::candidates(const ControlView& view, const StageSpec& stage,
    const std::vector<BackendServerId>& excluded, TimePoint now)
{
    const Catalogue& catalogue = *view.catalogue;
    m_ramp.observe(catalogue, now);
    std::vector<BackendServerId> pool = poolInService(catalogue, stage.pool);
    // The baselines know neither outliers nor requests to back off.
    const bool followsReports = std::holds_alternative<PowerOfTwoChoices>(m_options.policy);
    if (followsReports)
        pool = m_outliers.keep(pool, now);
    Candidates result;
    double busySum = 0;
    int busyCount = 0;
    for (const BackendServerId& id : pool) {
        const BackendServer& server = catalogue.servers.at(id);
        ServerLoad& load = m_loads[id];
        if (const auto busy = load.meanBusy()) {
            busySum += *busy;
            ++busyCount;
        }
        if (std::find(excluded.begin(), excluded.end(), id) != excluded.end())
            continue;
        if (followsReports && load.isBackingOff(now))
            continue;
        result.push_back({ .server = &server,
            .load = load.load(now),
            .cap = std::min(load.cap(server.coldCap), m_ramp.capOf(server, now)),
            .remote = server.failureDomain != view.failureDomain });
    }
    for (Candidate& candidate : result) {
        const double poolMean = busyCount > 0 ? busySum / busyCount : unknownBusy;
        candidate.meanBusy = m_loads[candidate.server->id].meanBusy().value_or(poolMean);
    }
    return result;
}

const LoadRouter::Candidate& LoadRouter::pick(const PowerOfTwoChoices& policy,
    const StageSpec& /*stage*/, const Candidates& candidates, TimePoint /*now*/)
{
    const auto cost = [&policy](const Candidate& candidate) {
        return expectedCost(policy, candidate.load, candidate.cap, candidate.meanBusy,
            candidate.remote, candidate.holdsPrefix);
    };
    const Candidate* best = &drawByCap(candidates);
    const Candidate* second = &drawByCap(candidates);
    // A second draw of the same server would be no choice at all.
    if (second == best)
        second = &candidates[(static_cast<std::size_t>(best - candidates.data()) + 1) % candidates.size()];
    if (cost(*second) < cost(*best))
        best = second;
    const auto holder = std::find_if(candidates.begin(), candidates.end(),
        [](const Candidate& candidate) { return candidate.holdsPrefix; });
    if (holder != candidates.end() && cost(*holder) <= cost(*best))
        return *holder;
    return *best;
}

const LoadRouter::Candidate& LoadRouter::pick(const RoundRobin& /*policy*/, const StageSpec& stage,
    const Candidates& candidates, TimePoint /*now*/)
{
    return candidates[m_turns[stage.pool]++ % candidates.size()];
}

const LoadRouter::Candidate& LoadRouter::pick(const LeastReportedLoad& policy,
    const StageSpec& /*stage*/, const Candidates& candidates, TimePoint now)
{
    const Candidate* best = nullptr;
    double least = 0;
    for (const Candidate& candidate : candidates) {
        const double load = lastSeenLoad(policy, candidate.server->id, now);
        if (best != nullptr && load >= least)
            continue;
        best = &candidate;
        least = load;
    }
    return *best;
}

const LoadRouter::Candidate& LoadRouter::drawByCap(const Candidates& candidates)
{
    double total = 0;
    for (const Candidate& candidate : candidates)
        total += candidate.cap;
    double ticket = std::uniform_real_distribution<double>(0, total)(m_random);
    for (const Candidate& candidate : candidates) {
        ticket -= candidate.cap;
        if (ticket < 0)
            return candidate;
    }
    return candidates.back();
}

double LoadRouter::lastSeenLoad(
    const LeastReportedLoad& policy, const BackendServerId& server, TimePoint now)
{
    LaggingReport& report = m_laggingReports[server];
    if (now - report.seenAt >= policy.interval) {
        report.seenLoad = report.load;
        report.seenAt = now;
    }
    return report.seenLoad;
}

}
