#include "libapricot/loadrouter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Inputs whose first bytes agree, up to this number, count as having the same prefix.
    constexpr std::size_t prefixBytes = 64;
    // Assumed for a pool without any finished attempt.
    constexpr double defaultBusyMilliseconds = 20;
    // How long a pool's eligible servers, caps and mean busy times are cached.
    constexpr Milliseconds poolSnapshotLifetime { 20 };
    // Number of random draws before a linear search, which is needed if most servers are excluded.
    constexpr int maxDraws = 8;

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
    PoolSnapshot& pool = poolSnapshot(view, stage.pool, now);
    const bool usesPrefixCache = stage.kind == StageKind::Generate;
    const ChoiceConstraints constraints { .excluded = excluded,
        .prefix = usesPrefixCache ? input.substr(0, prefixBytes) : std::string_view(),
        .now = now };
    const Candidate* chosen = std::visit(
        [&](const auto& policy) { return pick(policy, pool, constraints); }, m_options.policy);
    if (!chosen)
        return std::nullopt;
    m_loads[chosen->server.id].onAttemptChosen(now);
    return chosen->server.id;
}

void LoadRouter::recordOutcome(
    const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
{
    m_loads[server].onAttemptEnded(outcome, now);
    m_outliers.recordOutcome(outcome, server, now);
    if (outcome.cap > 0)
        m_delayedReports[server].load = outcome.load;
}

double LoadRouter::utilisation(const ControlView& view, const PoolId& pool, TimePoint now)
{
    double load = 0;
    double cap = 0;
    for (const Candidate& candidate : poolSnapshot(view, pool, now).candidates) {
        load += m_loads[candidate.server.id].load(now);
        cap += candidate.cap;
    }
    return cap > 0 ? load / cap : 1;
}

LoadRouter::PoolSnapshot& LoadRouter::poolSnapshot(
    const ControlView& view, const PoolId& pool, TimePoint now)
{
    PoolSnapshot& result = m_poolSnapshots[pool];
    const bool isFresh = result.version == view.catalogue->version && !result.candidates.empty()
        && now - result.builtAt < poolSnapshotLifetime;
    if (!isFresh)
        rebuild(result, view, pool, now);
    return result;
}

void LoadRouter::rebuild(
    PoolSnapshot& result, const ControlView& view, const PoolId& pool, TimePoint now)
{
    const Catalogue& catalogue = *view.catalogue;
    m_ramp.update(catalogue, now);
    std::vector<BackendServerId> servers = serversInService(catalogue, pool);
    if (usesOutcomeFeedback())
        servers = m_outliers.ejectOutliers(servers, now);
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
        const double defaultBusy
            = poolBusy.sampleCount() > 0 ? poolBusy.value() : defaultBusyMilliseconds;
        result.candidates.push_back({ .server = server,
            .idHash = stableHash(id.value()),
            .cap = std::min(load.cap(server.coldCap), m_ramp.currentCap(server, now)),
            .meanBusy = load.meanBusy().value_or(defaultBusy),
            .isRemote = server.failureDomain != view.failureDomain });
        capSum += result.candidates.back().cap;
        result.capSums.push_back(capSum);
    }
}

const std::vector<BackendServerId>& LoadRouter::serversInService(
    const Catalogue& catalogue, const PoolId& pool)
{
    if (m_serversByPoolVersion != catalogue.version) {
        m_serversByPool.clear();
        for (const auto& [id, server] : catalogue.servers) {
            if (catalogue.isInService(server))
                m_serversByPool[server.pool].push_back(id);
        }
        std::erase_if(m_loads, [&catalogue](const auto& entry) {
            return !catalogue.servers.contains(entry.first);
        });
        m_serversByPoolVersion = catalogue.version;
    }
    return m_serversByPool[pool];
}

bool LoadRouter::isEligible(const Candidate& candidate, const ChoiceConstraints& constraints) const
{
    const BackendServerId& id = candidate.server.id;
    if (std::find(constraints.excluded.begin(), constraints.excluded.end(), id)
        != constraints.excluded.end())
        return false;
    const auto load = m_loads.find(id);
    return !usesOutcomeFeedback() || load == m_loads.end()
        || !load->second.isBackingOff(constraints.now);
}

bool LoadRouter::usesOutcomeFeedback() const
{
    // The baseline policies ignore outliers and back-off requests.
    return std::holds_alternative<PowerOfTwoChoices>(m_options.policy);
}

const LoadRouter::Candidate* LoadRouter::pick(
    const PowerOfTwoChoices& policy, PoolSnapshot& pool, const ChoiceConstraints& constraints)
{
    const Candidate* best = drawWeightedByCap(pool, constraints, nullptr);
    if (!best)
        return nullptr;
    const Candidate* holder = prefixHolder(pool, constraints);
    const auto costOf = [&](const Candidate* candidate) {
        return cost(policy, *candidate, candidate == holder, constraints.now);
    };
    const Candidate* second = drawWeightedByCap(pool, constraints, best);
    if (second && costOf(second) < costOf(best))
        best = second;
    if (holder && costOf(holder) <= costOf(best))
        return holder;
    return best;
}

const LoadRouter::Candidate* LoadRouter::pick(
    const RoundRobin& /*policy*/, PoolSnapshot& pool, const ChoiceConstraints& constraints)
{
    for (std::size_t step = 0; step < pool.candidates.size(); ++step) {
        const Candidate& next = pool.candidates[pool.nextIndex++ % pool.candidates.size()];
        if (isEligible(next, constraints))
            return &next;
    }
    return nullptr;
}

const LoadRouter::Candidate* LoadRouter::pick(
    const LeastReportedLoad& policy, PoolSnapshot& pool, const ChoiceConstraints& constraints)
{
    const Candidate* best = nullptr;
    double lowestLoad = 0;
    for (const Candidate& candidate : pool.candidates) {
        if (!isEligible(candidate, constraints))
            continue;
        const double load = delayedLoad(policy, candidate.server.id, constraints.now);
        if (best && load >= lowestLoad)
            continue;
        best = &candidate;
        lowestLoad = load;
    }
    return best;
}

const LoadRouter::Candidate* LoadRouter::drawWeightedByCap(
    const PoolSnapshot& pool, const ChoiceConstraints& constraints, const Candidate* other)
{
    if (pool.candidates.empty())
        return nullptr;
    std::uniform_real_distribution<double> capDistribution(0, pool.capSums.back());
    std::size_t drawnIndex = 0;
    for (int draw = 0; draw < maxDraws; ++draw) {
        const auto position
            = std::upper_bound(pool.capSums.begin(), pool.capSums.end(), capDistribution(m_random));
        drawnIndex = std::min(static_cast<std::size_t>(position - pool.capSums.begin()),
            pool.candidates.size() - 1);
        const Candidate& candidate = pool.candidates[drawnIndex];
        if (&candidate != other && isEligible(candidate, constraints))
            return &candidate;
    }
    for (std::size_t step = 1; step <= pool.candidates.size(); ++step) {
        const Candidate& candidate = pool.candidates[(drawnIndex + step) % pool.candidates.size()];
        if (&candidate != other && isEligible(candidate, constraints))
            return &candidate;
    }
    return nullptr;
}

const LoadRouter::Candidate* LoadRouter::prefixHolder(
    const PoolSnapshot& pool, const ChoiceConstraints& constraints) const
{
    if (constraints.prefix.empty())
        return nullptr;
    const std::uint64_t prefix = stableHash(constraints.prefix);
    const auto score = [prefix](const Candidate& candidate) {
        return stableHash({}, prefix ^ candidate.idHash);
    };
    const auto holder = std::max_element(pool.candidates.begin(), pool.candidates.end(),
        [&score](const auto& left, const auto& right) { return score(left) < score(right); });
    return isEligible(*holder, constraints) ? &*holder : nullptr;
}

double LoadRouter::cost(const PowerOfTwoChoices& policy, const Candidate& candidate,
    bool holdsPrefix, TimePoint now)
{
    const double load = m_loads[candidate.server.id].load(now);
    const double remoteDelay = inMilliseconds(policy.remoteCallDelay);
    const auto prefillTime = static_cast<double>(policy.prefillTimeSaved.count());
    return candidate.meanBusy * (load + 1) / candidate.cap + (candidate.isRemote ? remoteDelay : 0)
        + (holdsPrefix ? 0 : prefillTime);
}

double LoadRouter::delayedLoad(
    const LeastReportedLoad& policy, const BackendServerId& server, TimePoint now)
{
    DelayedReport& report = m_delayedReports[server];
    if (now - report.sampledAt >= policy.interval) {
        report.sampledLoad = report.load;
        report.sampledAt = now;
    }
    return report.sampledLoad;
}

}
