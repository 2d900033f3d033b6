#include "libapricot/loadrouter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Inputs that agree in so many bytes share their prefix.
    constexpr std::size_t prefixBytes = 64;
    // Busy time in milliseconds assumed for a pool without any finished attempt.
    constexpr double unknownBusy = 20;
    // How long a pool's eligible servers, their caps and mean times are used before a new look.
    constexpr Milliseconds poolViewAge { 20 };
    // Draws before every server is looked at, when most are excluded.
    constexpr int drawLimit = 8;

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
    PoolView& pool = poolView(view, stage.pool, now);
    const bool hasPrefix = stage.kind == StageKind::Generate;
    const Choice choice { .excluded = excluded,
        .prefix = hasPrefix ? input.substr(0, prefixBytes) : std::string_view(),
        .now = now };
    const Candidate* chosen = std::visit(
        [&](const auto& policy) { return pick(policy, pool, choice); }, m_options.policy);
    if (!chosen)
        return std::nullopt;
    m_loads[chosen->server.id].attemptChosen(now);
    return chosen->server.id;
}

void LoadRouter::recordOutcome(const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
{
    m_loads[server].attemptEnded(outcome, now);
    m_outliers.recordOutcome(outcome, server, now);
    if (outcome.cap > 0)
        m_laggingReports[server].load = outcome.load;
}

double LoadRouter::utilisation(const ControlView& view, const PoolId& pool, TimePoint now)
{
    double load = 0;
    double cap = 0;
    for (const Candidate& candidate : poolView(view, pool, now).candidates) {
        load += m_loads[candidate.server.id].load(now);
        cap += candidate.cap;
    }
    return cap > 0 ? load / cap : 1;
}

LoadRouter::PoolView& LoadRouter::poolView(
    const ControlView& view, const PoolId& pool, TimePoint now)
{
    PoolView& result = m_poolViews[pool];
    const bool isFresh = result.version == view.catalogue->version && !result.candidates.empty()
        && now - result.builtAt < poolViewAge;
    if (!isFresh)
        rebuild(result, view, pool, now);
    return result;
}

void LoadRouter::rebuild(
    PoolView& result, const ControlView& view, const PoolId& pool, TimePoint now)
{
    const Catalogue& catalogue = *view.catalogue;
    m_ramp.observe(catalogue, now);
    std::vector<BackendServerId> servers = poolInService(catalogue, pool);
    if (followsReports())
        servers = m_outliers.keep(servers, now);
    result.version = catalogue.version;
    result.builtAt = now;
    result.candidates.clear();
    result.capSums.clear();
    DecayingMean poolBusy;
    for (const BackendServerId& id : servers) {
        if (const auto busy = m_loads[id].meanBusy())
            poolBusy.add(*busy);
    }
    double capSum = 0;
    for (const BackendServerId& id : servers) {
        const BackendServer& server = catalogue.servers.at(id);
        const ServerLoad& load = m_loads[id];
        const double fallback = poolBusy.samples() > 0 ? poolBusy.value() : unknownBusy;
        result.candidates.push_back({ .server = server,
            .idHash = stableHash(id.value()),
            .cap = std::min(load.cap(server.coldCap), m_ramp.capOf(server, now)),
            .meanBusy = load.meanBusy().value_or(fallback),
            .remote = server.failureDomain != view.failureDomain });
        capSum += result.candidates.back().cap;
        result.capSums.push_back(capSum);
    }
}

const std::vector<BackendServerId>& LoadRouter::poolInService(
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
    return m_pools[pool];
}

bool LoadRouter::isEligible(const Candidate& candidate, const Choice& choice) const
{
    const BackendServerId& id = candidate.server.id;
    if (std::find(choice.excluded.begin(), choice.excluded.end(), id) != choice.excluded.end())
        return false;
    const auto load = m_loads.find(id);
    return !followsReports() || load == m_loads.end() || !load->second.isBackingOff(choice.now);
}

bool LoadRouter::followsReports() const
{
    // The baselines know neither outliers nor requests to back off.
    return std::holds_alternative<PowerOfTwoChoices>(m_options.policy);
}

const LoadRouter::Candidate* LoadRouter::pick(
    const PowerOfTwoChoices& policy, PoolView& pool, const Choice& choice)
{
    const Candidate* best = drawByCap(pool, choice, nullptr);
    if (!best)
        return nullptr;
    const Candidate* holder = prefixHolder(pool, choice);
    const auto costOf = [&](const Candidate* candidate) {
        return cost(policy, *candidate, candidate == holder, choice.now);
    };
    const Candidate* second = drawByCap(pool, choice, best);
    if (second && costOf(second) < costOf(best))
        best = second;
    if (holder && costOf(holder) <= costOf(best))
        return holder;
    return best;
}

const LoadRouter::Candidate* LoadRouter::pick(
    const RoundRobin& /*policy*/, PoolView& pool, const Choice& choice)
{
    for (std::size_t step = 0; step < pool.candidates.size(); ++step) {
        const Candidate& next = pool.candidates[pool.turn++ % pool.candidates.size()];
        if (isEligible(next, choice))
            return &next;
    }
    return nullptr;
}

const LoadRouter::Candidate* LoadRouter::pick(
    const LeastReportedLoad& policy, PoolView& pool, const Choice& choice)
{
    const Candidate* best = nullptr;
    double least = 0;
    for (const Candidate& candidate : pool.candidates) {
        if (!isEligible(candidate, choice))
            continue;
        const double load = lastSeenLoad(policy, candidate.server.id, choice.now);
        if (best && load >= least)
            continue;
        best = &candidate;
        least = load;
    }
    return best;
}

const LoadRouter::Candidate* LoadRouter::drawByCap(
    const PoolView& pool, const Choice& choice, const Candidate* other)
{
    if (pool.candidates.empty())
        return nullptr;
    std::uniform_real_distribution<double> tickets(0, pool.capSums.back());
    std::size_t drawn = 0;
    for (int draw = 0; draw < drawLimit; ++draw) {
        const auto sum
            = std::upper_bound(pool.capSums.begin(), pool.capSums.end(), tickets(m_random));
        drawn = std::min(static_cast<std::size_t>(sum - pool.capSums.begin()),
            pool.candidates.size() - 1);
        const Candidate& candidate = pool.candidates[drawn];
        if (&candidate != other && isEligible(candidate, choice))
            return &candidate;
    }
    for (std::size_t step = 1; step <= pool.candidates.size(); ++step) {
        const Candidate& candidate = pool.candidates[(drawn + step) % pool.candidates.size()];
        if (&candidate != other && isEligible(candidate, choice))
            return &candidate;
    }
    return nullptr;
}

const LoadRouter::Candidate* LoadRouter::prefixHolder(
    const PoolView& pool, const Choice& choice) const
{
    if (choice.prefix.empty())
        return nullptr;
    const std::uint64_t prefix = stableHash(choice.prefix);
    const auto score = [prefix](const Candidate& candidate) {
        return stableHash({}, prefix ^ candidate.idHash);
    };
    const auto holder = std::max_element(pool.candidates.begin(), pool.candidates.end(),
        [&score](const auto& left, const auto& right) { return score(left) < score(right); });
    return isEligible(*holder, choice) ? &*holder : nullptr;
}

double LoadRouter::cost(const PowerOfTwoChoices& policy, const Candidate& candidate,
    bool holdsPrefix, TimePoint now)
{
    const double load = m_loads[candidate.server.id].load(now);
    const double hop = inMilliseconds(policy.remoteHop);
    const auto prefill = static_cast<double>(policy.prefillSaved.count());
    return candidate.meanBusy * (load + 1) / candidate.cap + (candidate.remote ? hop : 0)
        + (holdsPrefix ? 0 : prefill);
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
