#include "libapricot/shareledger.h"

#include "libapricot/ownerlimiter.h"

#include <algorithm>
#include <numeric>

namespace Apricot {

namespace {

    // Shares exceed the demand by this factor, so that rising demand isn't refused immediately.
    constexpr double demandHeadroom = 1.25;
    // A cell with at most this number of renewals was just created, so there was no earlier home.
    constexpr std::uint64_t newCellRenewals = 2;

    bool sameMembers(const CellState& left, const CellState& right)
    {
        return left.members == right.members;
    }

    template <typename Number>
    Number stricterLimit(Number left, Number right)
    {
        if (left == 0 || right == 0)
            return std::max(left, right);
        return std::min(left, right);
    }

    OwnerLimits stricterLimits(const OwnerLimits& left, const OwnerLimits& right)
    {
        return { .requestsPerSecond
            = stricterLimit(left.requestsPerSecond, right.requestsPerSecond),
            .requestsInFlight = stricterLimit(left.requestsInFlight, right.requestsInFlight),
            .tokensPerSecond = stricterLimit(left.tokensPerSecond, right.tokensPerSecond) };
    }

    OwnerShare minShare(const OwnerShare& left, const OwnerShare& right)
    {
        return { .requestsPerSecond = std::min(left.requestsPerSecond, right.requestsPerSecond),
            .requestsInFlight = std::min(left.requestsInFlight, right.requestsInFlight),
            .tokensPerSecond = std::min(left.tokensPerSecond, right.tokensPerSecond) };
    }

}

std::vector<double> divideFairly(const std::vector<double>& demands, double total)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(),
        [&demands](std::size_t left, std::size_t right) { return demands[left] < demands[right]; });
    std::vector<double> parts(demands.size());
    double remaining = std::max(0.0, total);
    for (std::size_t position = 0; position < order.size(); ++position) {
        const double equalPart = remaining / static_cast<double>(order.size() - position);
        parts[order[position]] = std::min(demands[order[position]], equalPart);
        remaining -= parts[order[position]];
    }
    for (double& part : parts)
        part += remaining / static_cast<double>(parts.size());
    return parts;
}

ShareLedger::ShareLedger(OwnerShareOptions options)
    : m_options(options)
{
}

void ShareLedger::observe(const ControlView& view, TimePoint now)
{
    m_self = view.self;
    m_incarnation = view.incarnation;
    const bool permissionExpired = now >= m_permittedUntil;
    m_permittedUntil = view.permittedUntil;
    // After the permission has expired, another host may have been the home in the meantime, whatever
    // the view shows.
    if (permissionExpired) {
        m_memberships.clear();
        m_startupEndsAt.reset();
    }
    if (!m_wasPermitted && view.permits(now)) {
        m_wasPermitted = true;
        if (view.cell->renewals <= newCellRenewals)
            m_startupEndsAt = now + 2 * m_options.evidence;
    }
    if (m_memberships.empty() || !sameMembers(m_memberships.back().cell, *view.cell))
        addMembership(*view.cell, now);
    const Duration maxAge = maxGrantAge();
    while (m_memberships.size() > 1 && now - m_memberships[1].since > maxAge)
        m_memberships.erase(m_memberships.begin());
}

void ShareLedger::addMembership(const CellState& cell, TimePoint now)
{
    // In a new cell there are no older grants, so only the first members are waited for.
    const bool isStartingUp = m_startupEndsAt && now < *m_startupEndsAt;
    const TimePoint since = isStartingUp ? *m_startupEndsAt - maxGrantAge() : now;
    m_memberships.push_back({ .number = ++m_membershipNumber, .since = since, .cell = cell });
}

Duration ShareLedger::maxGrantAge() const
{
    return m_options.evidence + m_options.lifetime + m_options.maxRequestDuration;
}

ShareResponse ShareLedger::respondTo(
    const ShareRequest& request, const ControlView& view, TimePoint now)
{
    observe(view, now);
    ShareResponse response {
        .number = request.number, .home = m_self, .homeIncarnation = m_incarnation
    };
    if (!view.permits(now))
        return response;
    for (const OwnerShareReport& report : request.reports) {
        if (ownerHome(report.owner, *view.cell) != m_self)
            continue;
        if (auto next = grant({ request.host, request.incarnation }, request.number, report, now))
            response.grants.push_back(std::move(*next));
    }
    return response;
}

std::optional<ShareGrant> ShareLedger::grant(
    const HostKey& host, std::uint64_t number, const OwnerShareReport& report, TimePoint now)
{
    OwnerState& owner = ownerState(report.owner);
    HostState& state = owner.hosts[host];
    if (number <= state.lastRequestNumber)
        return std::nullopt;
    state.lastRequestNumber = number;
    applyReport(state, report, now);
    removeExpired(owner, now);
    if (now < owner.homeSince + m_options.evidence || (m_startupEndsAt && now < *m_startupEndsAt))
        return std::nullopt;
    const OwnerShare share = shareFor(owner, host, report, now);
    state.grants.push_back(
        { .sequence = ++m_sequence, .share = share, .expires = now + m_options.lifetime });
    return ShareGrant { .owner = report.owner, .sequence = m_sequence, .share = share };
}

ShareLedger::OwnerState& ShareLedger::ownerState(const OwnerId& owner)
{
    OwnerState& state = m_owners[owner];
    if (state.membershipNumber == m_membershipNumber)
        return state;
    const Membership& first = firstMembershipAsHome(owner);
    // A home that was replaced and became home again does not know the grants made in between.
    if (state.membershipNumber < first.number)
        state = { .homeSince = first.since };
    state.membershipNumber = m_membershipNumber;
    return state;
}

const ShareLedger::Membership& ShareLedger::firstMembershipAsHome(const OwnerId& owner) const
{
    std::size_t first = m_memberships.size() - 1;
    while (first > 0 && ownerHome(owner, m_memberships[first - 1].cell) == m_self)
        --first;
    return m_memberships[first];
}

void ShareLedger::applyReport(HostState& host, const OwnerShareReport& report, TimePoint now) const
{
    host.limits = report.limits();
    host.demand = report.demand;
    host.inFlightBeyondReserve = report.inFlightBeyondReserve;
    host.reportedAt = now;
    const bool isOwnGrant = report.grantedBy == m_incarnation
        && std::any_of(host.grants.begin(), host.grants.end(),
            [&report](const OutstandingGrant& grant) { return grant.sequence == report.sequence; });
    if (isOwnGrant) {
        std::erase_if(host.grants,
            [&report](const OutstandingGrant& grant) { return grant.sequence < report.sequence; });
        return;
    }
    // A share granted by another home, or by this one before it was temporarily replaced. It replaces
    // the one that the host reported before, which has sequence zero.
    std::erase_if(host.grants, [](const OutstandingGrant& grant) { return grant.sequence == 0; });
    if (report.validFor > Milliseconds(0))
        host.grants.push_back({ .share = report.grantedShare, .expires = now + report.validFor });
}

void ShareLedger::removeExpired(OwnerState& owner, TimePoint now) const
{
    for (auto& [key, host] : owner.hosts) {
        std::erase_if(host.grants, [this, now](const OutstandingGrant& grant) {
            return now >= grant.expires + m_options.maxRequestDuration;
        });
    }
    std::erase_if(owner.hosts, [this, now](const auto& entry) {
        return entry.second.grants.empty()
            && now - entry.second.reportedAt > m_options.maxRequestDuration;
    });
}

OwnerShare ShareLedger::committedShare(const HostState& host, TimePoint now) const
{
    OwnerShare committed { .requestsInFlight = host.inFlightBeyondReserve };
    for (const OutstandingGrant& grant : host.grants) {
        committed.requestsInFlight
            = std::max(committed.requestsInFlight, grant.share.requestsInFlight);
        if (now >= grant.expires)
            continue;
        committed.requestsPerSecond
            = std::max(committed.requestsPerSecond, grant.share.requestsPerSecond);
        committed.tokensPerSecond
            = std::max(committed.tokensPerSecond, grant.share.tokensPerSecond);
    }
    return committed;
}

OwnerShare ShareLedger::grantable(const OwnerState& owner) const
{
    OwnerLimits limits;
    for (const auto& [key, host] : owner.hosts)
        limits = stricterLimits(limits, host.limits);
    const double fraction = 1 - m_options.reserve;
    return { .requestsPerSecond = limits.requestsPerSecond * fraction,
        .requestsInFlight = static_cast<int>(limits.requestsInFlight * fraction),
        .tokensPerSecond = limits.tokensPerSecond * fraction };
}

OwnerShare ShareLedger::available(
    const OwnerState& owner, const HostKey& host, TimePoint now) const
{
    OwnerShare remaining = grantable(owner);
    for (const auto& [key, other] : owner.hosts) {
        if (key == host)
            continue;
        const OwnerShare used = committedShare(other, now);
        remaining.requestsPerSecond -= used.requestsPerSecond;
        remaining.requestsInFlight -= used.requestsInFlight;
        remaining.tokensPerSecond -= used.tokensPerSecond;
    }
    return { .requestsPerSecond = std::max(0.0, remaining.requestsPerSecond),
        .requestsInFlight = std::max(0, remaining.requestsInFlight),
        .tokensPerSecond = std::max(0.0, remaining.tokensPerSecond) };
}

OwnerShare ShareLedger::fairShare(
    const OwnerState& owner, const HostKey& host, TimePoint now) const
{
    // Divides the total that can be granted among the hosts by demand.
    const OwnerShare total = grantable(owner);
    std::vector<double> requests;
    std::vector<double> inFlight;
    std::vector<double> tokens;
    std::size_t own = 0;
    for (const auto& [key, other] : owner.hosts) {
        if (key == host)
            own = requests.size();
        else if (now - other.reportedAt > m_options.lifetime)
            continue;
        requests.push_back(other.demand.requestsPerSecond * demandHeadroom);
        inFlight.push_back(other.demand.requestsInFlight * demandHeadroom);
        tokens.push_back(other.demand.tokensPerSecond * demandHeadroom);
    }
    return { .requestsPerSecond = divideFairly(requests, total.requestsPerSecond)[own],
        .requestsInFlight
        = static_cast<int>(divideFairly(inFlight, total.requestsInFlight)[own]),
        .tokensPerSecond = divideFairly(tokens, total.tokensPerSecond)[own] };
}

OwnerShare ShareLedger::shareFor(
    const OwnerState& owner, const HostKey& host, const OwnerShareReport& report, TimePoint now) const
{
    const TimePoint unrestrictedFrom = owner.homeSince + m_options.evidence + m_options.lifetime;
    const OwnerShare renewed = report.validFor > Milliseconds(0)
        ? minShare(report.grantedShare, grantable(owner))
        : OwnerShare {};
    if (now < unrestrictedFrom)
        return renewed;
    OwnerShare share = minShare(fairShare(owner, host, now), available(owner, host, now));
    if (now < unrestrictedFrom + m_options.maxRequestDuration)
        share.requestsInFlight = renewed.requestsInFlight;
    return share;
}

}
