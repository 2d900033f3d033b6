#include "libapricot/ownerlimiter.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr Duration demandHalfLife = std::chrono::seconds(1);
    constexpr double ln2 = 0.69314718056;
    constexpr Milliseconds leastRetryAfter { 20 };
    constexpr Milliseconds mostRetryAfter { 5000 };
    constexpr Milliseconds inFlightRetryAfter { 200 };
    // Demand below this is treated as none.
    constexpr double leastDemand = 0.01;

    double perSecond(double decayingCount)
    {
        return decayingCount * ln2 / std::chrono::duration<double>(demandHalfLife).count();
    }

    Refusal limitRefusal(Duration wait, std::string detail)
    {
        const Milliseconds rounded = std::chrono::duration_cast<Milliseconds>(wait);
        return { .reason = RefusalReason::OwnerLimit,
            .ran = RanState::NotRun,
            .retryAfter = std::clamp(rounded, leastRetryAfter, mostRetryAfter),
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
    Record& record = m_records[owner];
    record.limits = limits;
    countDemand(record, expectedTokens, now);
    updateRates(record, now);
    if (limits.requestsInFlight > 0
        && record.inFlight >= share(record, now).requestsInFlight) {
        record.refusedInFlight += 1;
        return limitRefusal(inFlightRetryAfter, "requests in flight");
    }
    if (limits.tokensPerSecond > 0 && record.tokens.timeUntil(0, now) > Duration::zero())
        return limitRefusal(record.tokens.timeUntil(0, now), "tokens per second");
    if (limits.requestsPerSecond > 0 && !record.requests.take(1, 1, now))
        return limitRefusal(record.requests.timeUntil(1, now), "requests per second");
    if (limits.tokensPerSecond > 0)
        record.tokens.take(expectedTokens, 0, now);
    ++record.inFlight;
    record.expectedTokens += expectedTokens;
    return std::nullopt;
}

void OwnerLimiter::onRequestFinished(const OwnerId& owner, int tokens, TimePoint now)
{
    const auto found = m_records.find(owner);
    if (found == m_records.end() || found->second.inFlight == 0)
        return;
    Record& record = found->second;
    const double expected = record.expectedTokens / record.inFlight;
    record.expectedTokens -= expected;
    --record.inFlight;
    record.tokens.adjust(expected - tokens, now);
}

std::map<HostId, ShareRequest> OwnerLimiter::shareRequests(const ControlView& view, TimePoint now)
{
    updateHosts(view, now);
    std::erase_if(m_records, [this, now](const auto& entry) { return isIdle(entry.second, now); });
    std::erase_if(m_askedAt,
        [this, now](const auto& entry) { return now - entry.second > m_options.lifetime; });
    // Ranking the members for every owner in every round would cost more than all the rest.
    const bool isNewCell = m_rankedCell != view.cell;
    m_rankedCell = view.cell;
    std::map<HostId, ShareRequest> requests;
    for (auto& [owner, record] : m_records) {
        if (record.limits == OwnerLimits {})
            continue;
        if (isNewCell || record.askedHome.empty())
            changeHome(record, ownerHome(owner, *view.cell));
        const HostId& home = record.askedHome;
        if (home.empty())
            continue;
        const auto [request, isNew] = requests.try_emplace(home);
        if (isNew) {
            request->second = { .host = view.self,
                .incarnation = view.incarnation,
                .number = ++m_number };
            m_askedAt[m_number] = now;
        }
        request->second.reports.push_back(makeAsk(owner, record, now));
    }
    return requests;
}

void OwnerLimiter::applyResponse(const ShareResponse& answer, TimePoint now)
{
    const auto asked = m_askedAt.find(answer.number);
    if (asked == m_askedAt.end())
        return;
    const TimePoint expires = asked->second + m_options.lifetime;
    for (const ShareGrant& grant : answer.grants) {
        const auto found = m_records.find(grant.owner);
        if (found == m_records.end() || now >= expires)
            continue;
        Record& record = found->second;
        // An answer from before the home changed is void even when that home has returned.
        if (answer.number <= record.answeredNumber || answer.number < record.firstAsked
            || record.askedHome != answer.home)
            continue;
        record.answeredNumber = answer.number;
        record.grant = { .grantedBy = answer.homeIncarnation,
            .sequence = grant.sequence,
            .share = grant.share,
            .expires = expires };
        updateRates(record, now);
    }
}

OwnerShare OwnerLimiter::shareInForce(const OwnerId& owner, TimePoint now) const
{
    const auto found = m_records.find(owner);
    return found == m_records.end() ? OwnerShare {} : share(found->second, now);
}

int OwnerLimiter::requestsInFlight(const OwnerId& owner) const
{
    const auto found = m_records.find(owner);
    return found == m_records.end() ? 0 : found->second.inFlight;
}

std::vector<OwnerId> OwnerLimiter::ownerIds() const
{
    std::vector<OwnerId> ids;
    ids.reserve(m_records.size());
    for (const auto& [owner, record] : m_records)
        ids.push_back(owner);
    return ids;
}

OwnerShare OwnerLimiter::share(const Record& record, TimePoint now) const
{
    OwnerShare result;
    if (m_hasReserve)
        result = reserveShare(record.limits, m_options, m_hosts);
    if (now >= record.grant.expires)
        return result;
    result.requestsPerSecond += record.grant.share.requestsPerSecond;
    result.requestsInFlight += record.grant.share.requestsInFlight;
    result.tokensPerSecond += record.grant.share.tokensPerSecond;
    return result;
}

void OwnerLimiter::updateRates(Record& record, TimePoint now)
{
    const OwnerShare current = share(record, now);
    record.requests.setRate(current.requestsPerSecond, now);
    record.tokens.setRate(current.tokensPerSecond, now);
}

void OwnerLimiter::countDemand(Record& record, int expectedTokens, TimePoint now)
{
    const double factor = decayFactor(now - record.demandAt, demandHalfLife);
    record.requestDemand = record.requestDemand * factor + 1;
    record.tokenDemand = record.tokenDemand * factor + expectedTokens;
    record.refusedInFlight *= factor;
    record.demandAt = now;
}

bool OwnerLimiter::isIdle(const Record& record, TimePoint now) const
{
    // A forgotten bucket begins full again, so it is kept until it would have filled up.
    return record.inFlight == 0 && now >= record.grant.expires
        && now - record.demandAt > m_options.lifetime
        && record.requests.timeUntil(1, now) == Duration::zero()
        && record.tokens.timeUntil(0, now) == Duration::zero();
}

OwnerShareReport OwnerLimiter::makeAsk(const OwnerId& owner, const Record& record, TimePoint now) const
{
    const double factor = decayFactor(now - record.demandAt, demandHalfLife);
    const double requests = perSecond(record.requestDemand * factor);
    OwnerShareReport ask { .owner = owner,
        .requestsPerSecond = record.limits.requestsPerSecond,
        .requestsInFlight = record.limits.requestsInFlight,
        .tokensPerSecond = record.limits.tokensPerSecond };
    const int reserved = reserveShare(record.limits, m_options, m_hosts).requestsInFlight;
    ask.held = std::max(0, record.inFlight - reserved);
    if (requests >= leastDemand || record.inFlight > 0) {
        ask.demand = { .requestsPerSecond = requests,
            .requestsInFlight
            = record.inFlight + static_cast<int>(record.refusedInFlight * factor) + 1,
            .tokensPerSecond = perSecond(record.tokenDemand * factor) };
    }
    ask.grantedBy = record.grant.grantedBy;
    ask.sequence = record.grant.sequence;
    if (now < record.grant.expires) {
        ask.inForce = record.grant.share;
        ask.validFor = std::chrono::ceil<Milliseconds>(record.grant.expires - now);
    }
    return ask;
}

void OwnerLimiter::changeHome(Record& record, HostId home)
{
    if (record.askedHome != home)
        record.firstAsked = m_number + 1;
    record.askedHome = std::move(home);
}

void OwnerLimiter::updateHosts(const ControlView& view, TimePoint now)
{
    // Other hosts may still divide by an older number, so the largest recent one counts.
    m_hostsSeen[view.cell->members.size()] = now;
    std::erase_if(m_hostsSeen, [this, now](const auto& seen) {
        return now - seen.second > m_options.evidence + m_options.longestRequest;
    });
    m_hosts = m_hostsSeen.rbegin()->first;
    // More hosts than that divide by the members they see; until all have seen this one, it has none.
    const bool isLarge = m_hosts > static_cast<std::size_t>(m_options.reserveHosts);
    if (!m_firstSeen)
        m_firstSeen = now;
    m_hasReserve = !isLarge || now - *m_firstSeen >= m_options.evidence;
}

}
