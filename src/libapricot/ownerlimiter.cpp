#include "libapricot/ownerlimiter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr Duration demandHalfLife = std::chrono::seconds(1);
    constexpr double ln2 = 0.69314718056;
    constexpr Milliseconds minRetryAfter { 20 };
    constexpr Milliseconds maxRetryAfter { 5000 };
    constexpr Milliseconds inFlightRetryAfter { 200 };
    // Demand below this is treated as none.
    constexpr double minDemand = 0.01;

    double perSecond(double decayingCount)
    {
        return decayingCount * ln2 / std::chrono::duration<double>(demandHalfLife).count();
    }

    Refusal makeLimitRefusal(Duration wait, std::string detail)
    {
        const Milliseconds rounded = std::chrono::duration_cast<Milliseconds>(wait);
        return { .reason = RefusalReason::OwnerLimit,
            .ran = RanState::NotRun,
            .retryAfter = std::clamp(rounded, minRetryAfter, maxRetryAfter),
            .detail = std::move(detail) };
    }

}

HostId ownerHome(const OwnerId& owner, const CellState& cell)
{
    std::vector<HostId> live;
    live.reserve(cell.members.size());
    for (const Member& member : cell.members) {
        if (member.state == MemberState::Live)
            live.push_back(member.host);
    }
    const std::vector<HostId> ranked = rankHosts("owner/" + owner.value(), live);
    return ranked.empty() ? HostId() : ranked.front();
}

OwnerLimiter::OwnerLimiter(OwnerShareOptions options)
    : m_options(options)
{
}

std::optional<Refusal> OwnerLimiter::admit(
    const OwnerId& owner, const OwnerLimits& limits, int expectedTokens, TimePoint now)
{
    OwnerState& state = m_owners[owner];
    state.limits = limits;
    recordDemand(state, expectedTokens, now);
    updateRates(state, now);
    if (limits.requestsInFlight > 0
        && state.inFlight >= share(state, now).requestsInFlight) {
        state.refusedInFlight += 1;
        return makeLimitRefusal(inFlightRetryAfter, "limit of requests in flight reached");
    }
    if (limits.tokensPerSecond > 0 && state.tokenBucket.timeUntil(0, now) > Duration::zero())
        return makeLimitRefusal(
            state.tokenBucket.timeUntil(0, now), "limit of tokens per second reached");
    if (limits.requestsPerSecond > 0 && !state.requestBucket.tryAcquire(1, 1, now))
        return makeLimitRefusal(
            state.requestBucket.timeUntil(1, now), "limit of requests per second reached");
    if (limits.tokensPerSecond > 0)
        state.tokenBucket.tryAcquire(expectedTokens, 0, now);
    ++state.inFlight;
    state.expectedTokens += expectedTokens;
    return std::nullopt;
}

void OwnerLimiter::onRequestFinished(const OwnerId& owner, int tokens, TimePoint now)
{
    const auto found = m_owners.find(owner);
    if (found == m_owners.end() || found->second.inFlight == 0)
        return;
    OwnerState& state = found->second;
    const double expected = state.expectedTokens / state.inFlight;
    state.expectedTokens -= expected;
    --state.inFlight;
    state.tokenBucket.adjust(expected - tokens, now);
}

std::map<HostId, ShareRequest> OwnerLimiter::shareRequests(const ControlView& view, TimePoint now)
{
    updateHostCount(view, now);
    std::erase_if(m_owners, [this, now](const auto& entry) { return isIdle(entry.second, now); });
    std::erase_if(m_requestSentAt,
        [this, now](const auto& entry) { return now - entry.second > m_options.lifetime; });
    // The homes are ranked only when the cell changes; ranking the members for every owner in every
    // round would dominate the cost of this function.
    const bool isNewCell = m_rankedCell != view.cell;
    m_rankedCell = view.cell;
    std::map<HostId, ShareRequest> requests;
    for (auto& [owner, state] : m_owners) {
        if (state.limits == OwnerLimits {})
            continue;
        if (isNewCell || state.requestedHome.empty())
            changeHome(state, ownerHome(owner, *view.cell));
        const HostId& home = state.requestedHome;
        if (home.empty())
            continue;
        const auto [request, isNew] = requests.try_emplace(home);
        if (isNew) {
            request->second = { .host = view.self,
                .incarnation = view.incarnation,
                .number = ++m_lastRequestNumber };
            m_requestSentAt[m_lastRequestNumber] = now;
        }
        request->second.reports.push_back(makeReport(owner, state, now));
    }
    return requests;
}

void OwnerLimiter::applyResponse(const ShareResponse& response, TimePoint now)
{
    const auto sent = m_requestSentAt.find(response.number);
    if (sent == m_requestSentAt.end())
        return;
    const TimePoint expires = sent->second + m_options.lifetime;
    for (const ShareGrant& grant : response.grants) {
        const auto found = m_owners.find(grant.owner);
        if (found == m_owners.end() || now >= expires)
            continue;
        OwnerState& state = found->second;
        // A response to a request from before a change of home is ignored, even if the home has changed
        // back.
        if (response.number <= state.appliedNumber || response.number < state.firstRequestNumber
            || state.requestedHome != response.home)
            continue;
        state.appliedNumber = response.number;
        state.grant = { .grantedBy = response.homeIncarnation,
            .sequence = grant.sequence,
            .share = grant.share,
            .expires = expires };
        updateRates(state, now);
    }
}

OwnerShare OwnerLimiter::currentShare(const OwnerId& owner, TimePoint now) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? OwnerShare {} : share(found->second, now);
}

int OwnerLimiter::requestsInFlight(const OwnerId& owner) const
{
    const auto found = m_owners.find(owner);
    return found == m_owners.end() ? 0 : found->second.inFlight;
}

std::vector<OwnerId> OwnerLimiter::ownerIds() const
{
    std::vector<OwnerId> ids;
    ids.reserve(m_owners.size());
    for (const auto& [owner, state] : m_owners)
        ids.push_back(owner);
    return ids;
}

OwnerShare OwnerLimiter::share(const OwnerState& state, TimePoint now) const
{
    OwnerShare result;
    if (m_hasReserve)
        result = reserveShare(state.limits, m_options, m_reserveHostCount);
    if (now >= state.grant.expires)
        return result;
    result.requestsPerSecond += state.grant.share.requestsPerSecond;
    result.requestsInFlight += state.grant.share.requestsInFlight;
    result.tokensPerSecond += state.grant.share.tokensPerSecond;
    return result;
}

void OwnerLimiter::updateRates(OwnerState& state, TimePoint now)
{
    const OwnerShare current = share(state, now);
    state.requestBucket.setRate(current.requestsPerSecond, now);
    state.tokenBucket.setRate(current.tokensPerSecond, now);
}

void OwnerLimiter::recordDemand(OwnerState& state, int expectedTokens, TimePoint now)
{
    const double factor = decayFactor(now - state.demandAt, demandHalfLife);
    state.requestDemand = state.requestDemand * factor + 1;
    state.tokenDemand = state.tokenDemand * factor + expectedTokens;
    state.refusedInFlight *= factor;
    state.demandAt = now;
}

bool OwnerLimiter::isIdle(const OwnerState& state, TimePoint now) const
{
    // New buckets start at their initial level, so the owner is removed only once its buckets have
    // recovered to it.
    return state.inFlight == 0 && now >= state.grant.expires
        && now - state.demandAt > m_options.lifetime
        && state.requestBucket.timeUntil(1, now) == Duration::zero()
        && state.tokenBucket.timeUntil(0, now) == Duration::zero();
}

OwnerShareReport OwnerLimiter::makeReport(
    const OwnerId& owner, const OwnerState& state, TimePoint now) const
{
    const double factor = decayFactor(now - state.demandAt, demandHalfLife);
    const double requests = perSecond(state.requestDemand * factor);
    OwnerShareReport report { .owner = owner,
        .requestsPerSecond = state.limits.requestsPerSecond,
        .requestsInFlight = state.limits.requestsInFlight,
        .tokensPerSecond = state.limits.tokensPerSecond };
    const int reserved = reserveShare(state.limits, m_options, m_reserveHostCount).requestsInFlight;
    report.inFlightBeyondReserve = std::max(0, state.inFlight - reserved);
    if (requests >= minDemand || state.inFlight > 0) {
        report.demand = { .requestsPerSecond = requests,
            .requestsInFlight
            = state.inFlight + static_cast<int>(state.refusedInFlight * factor) + 1,
            .tokensPerSecond = perSecond(state.tokenDemand * factor) };
    }
    report.grantedBy = state.grant.grantedBy;
    report.sequence = state.grant.sequence;
    if (now < state.grant.expires) {
        report.grantedShare = state.grant.share;
        report.validFor = std::chrono::ceil<Milliseconds>(state.grant.expires - now);
    }
    return report;
}

void OwnerLimiter::changeHome(OwnerState& state, HostId home)
{
    if (state.requestedHome != home)
        state.firstRequestNumber = m_lastRequestNumber + 1;
    state.requestedHome = std::move(home);
}

void OwnerLimiter::updateHostCount(const ControlView& view, TimePoint now)
{
    // Other hosts may still divide the reserve by an older member count, so the largest recent one is
    // used.
    m_recentHostCounts[view.cell->members.size()] = now;
    std::erase_if(m_recentHostCounts, [this, now](const auto& count) {
        return now - count.second > m_options.evidence + m_options.maxRequestDuration;
    });
    m_reserveHostCount = m_recentHostCounts.rbegin()->first;
    // Beyond reserveHosts, each host divides the reserve by the members that it sees. This host has no
    // reserve until all hosts have seen it.
    const bool exceedsReserveHosts
        = m_reserveHostCount > static_cast<std::size_t>(m_options.reserveHosts);
    if (!m_firstViewAt)
        m_firstViewAt = now;
    m_hasReserve = !exceedsReserveHosts || now - *m_firstViewAt >= m_options.evidence;
}

}
