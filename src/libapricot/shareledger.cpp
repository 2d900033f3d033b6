#include "libapricot/shareledger.h"

#include "libapricot/ownerlimiter.h"

#include <algorithm>
#include <numeric>

namespace Apricot {

namespace {

    // Shares are somewhat larger than the demand, so that a rising one isn't refused at once.
    constexpr double headroom = 1.25;
    // A cell whose writer has renewed it so few times was made just now, so no home was before it.
    constexpr std::uint64_t freshRenewals = 2;

    bool sameMembers(const CellState& left, const CellState& right)
    {
        return left.members == right.members;
    }

    template <typename Number>
    Number leastBound(Number left, Number right)
    {
        if (left == 0 || right == 0)
            return std::max(left, right);
        return std::min(left, right);
    }

    OwnerLimits strictest(const OwnerLimits& left, const OwnerLimits& right)
    {
        return { .requestsPerSecond
            = leastBound(left.requestsPerSecond, right.requestsPerSecond),
            .requestsInFlight = leastBound(left.requestsInFlight, right.requestsInFlight),
            .tokensPerSecond = leastBound(left.tokensPerSecond, right.tokensPerSecond) };
    }

    OwnerShare lesser(const OwnerShare& left, const OwnerShare& right)
    {
        return { .requestsPerSecond = std::min(left.requestsPerSecond, right.requestsPerSecond),
            .requestsInFlight = std::min(left.requestsInFlight, right.requestsInFlight),
            .tokensPerSecond = std::min(left.tokensPerSecond, right.tokensPerSecond) };
    }

}

std::vector<double> fairDivision(const std::vector<double>& wants, double total)
{
    std::vector<std::size_t> order(wants.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(),
        [&wants](std::size_t left, std::size_t right) { return wants[left] < wants[right]; });
    std::vector<double> parts(wants.size());
    double left = std::max(0.0, total);
    for (std::size_t place = 0; place < order.size(); ++place) {
        const double even = left / static_cast<double>(order.size() - place);
        parts[order[place]] = std::min(wants[order[place]], even);
        left -= parts[order[place]];
    }
    for (double& part : parts)
        part += left / static_cast<double>(parts.size());
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
    const bool lapsed = now >= m_permittedUntil;
    m_permittedUntil = view.permittedUntil;
    // After a lapse another host may have been home meanwhile, whatever the view shows.
    if (lapsed) {
        m_memberships.clear();
        m_settledAt.reset();
    }
    if (!m_wasPermitted && view.permits(now)) {
        m_wasPermitted = true;
        if (view.cell->renewals <= freshRenewals)
            m_settledAt = now + 2 * m_options.evidence;
    }
    if (m_memberships.empty() || !sameMembers(m_memberships.back().cell, *view.cell))
        addMembership(*view.cell, now);
    const Duration horizon = oldestGrant();
    while (m_memberships.size() > 1 && now - m_memberships[1].since > horizon)
        m_memberships.erase(m_memberships.begin());
}

void ShareLedger::addMembership(const CellState& cell, TimePoint now)
{
    // The first members of a new cell wait for each other; older grants than theirs don't exist.
    const bool isSettling = m_settledAt && now < *m_settledAt;
    const TimePoint since = isSettling ? *m_settledAt - oldestGrant() : now;
    m_memberships.push_back({ .number = ++m_membershipNumber, .since = since, .cell = cell });
}

Duration ShareLedger::oldestGrant() const
{
    return m_options.evidence + m_options.lifetime + m_options.longestRequest;
}

ShareResponse ShareLedger::respondTo(
    const ShareRequest& request, const ControlView& view, TimePoint now)
{
    observe(view, now);
    ShareResponse answer {
        .number = request.number, .home = m_self, .homeIncarnation = m_incarnation
    };
    if (!view.permits(now))
        return answer;
    for (const OwnerShareReport& ask : request.reports) {
        if (ownerHome(ask.owner, *view.cell) != m_self)
            continue;
        if (auto next = grant({ request.host, request.incarnation }, request.number, ask, now))
            answer.grants.push_back(std::move(*next));
    }
    return answer;
}

std::optional<ShareGrant> ShareLedger::grant(
    const HostKey& host, std::uint64_t number, const OwnerShareReport& ask, TimePoint now)
{
    OwnerRecord& owner = ownerRecord(ask.owner);
    HostRecord& record = owner.hosts[host];
    if (number <= record.number)
        return std::nullopt;
    record.number = number;
    takeReport(record, ask, now);
    dropExpired(owner, now);
    if (now < owner.homeSince + m_options.evidence || (m_settledAt && now < *m_settledAt))
        return std::nullopt;
    const OwnerShare share = shareFor(owner, host, ask, now);
    record.grants.push_back(
        { .sequence = ++m_sequence, .share = share, .expires = now + m_options.lifetime });
    return ShareGrant { .owner = ask.owner, .sequence = m_sequence, .share = share };
}

ShareLedger::OwnerRecord& ShareLedger::ownerRecord(const OwnerId& owner)
{
    OwnerRecord& record = m_owners[owner];
    if (record.membership == m_membershipNumber)
        return record;
    const Membership& first = homeSince(owner);
    // A home that was replaced and returned knows nothing of what was granted in between.
    if (record.membership < first.number)
        record = { .homeSince = first.since };
    record.membership = m_membershipNumber;
    return record;
}

const ShareLedger::Membership& ShareLedger::homeSince(const OwnerId& owner) const
{
    std::size_t first = m_memberships.size() - 1;
    while (first > 0 && ownerHome(owner, m_memberships[first - 1].cell) == m_self)
        --first;
    return m_memberships[first];
}

void ShareLedger::takeReport(HostRecord& host, const OwnerShareReport& ask, TimePoint now) const
{
    host.limits = ask.limits();
    host.demand = ask.demand;
    host.held = ask.held;
    host.askedAt = now;
    const bool isOwnGrant = ask.grantedBy == m_incarnation
        && std::any_of(host.grants.begin(), host.grants.end(),
            [&ask](const Outstanding& grant) { return grant.sequence == ask.sequence; });
    if (isOwnGrant) {
        std::erase_if(host.grants,
            [&ask](const Outstanding& grant) { return grant.sequence < ask.sequence; });
        return;
    }
    // A share that another home granted, or this one before it was replaced for a while. It takes the
    // place of the one that the host showed before.
    std::erase_if(host.grants, [](const Outstanding& grant) { return grant.sequence == 0; });
    if (ask.validFor > Milliseconds(0))
        host.grants.push_back({ .share = ask.inForce, .expires = now + ask.validFor });
}

void ShareLedger::dropExpired(OwnerRecord& owner, TimePoint now) const
{
    for (auto& [key, host] : owner.hosts) {
        std::erase_if(host.grants, [this, now](const Outstanding& grant) {
            return now >= grant.expires + m_options.longestRequest;
        });
    }
    std::erase_if(owner.hosts, [this, now](const auto& entry) {
        return entry.second.grants.empty()
            && now - entry.second.askedAt > m_options.longestRequest;
    });
}

OwnerShare ShareLedger::counted(const HostRecord& host, TimePoint now) const
{
    OwnerShare most { .requestsInFlight = host.held };
    for (const Outstanding& grant : host.grants) {
        most.requestsInFlight = std::max(most.requestsInFlight, grant.share.requestsInFlight);
        if (now >= grant.expires)
            continue;
        most.requestsPerSecond = std::max(most.requestsPerSecond, grant.share.requestsPerSecond);
        most.tokensPerSecond = std::max(most.tokensPerSecond, grant.share.tokensPerSecond);
    }
    return most;
}

OwnerShare ShareLedger::grantable(const OwnerRecord& owner) const
{
    OwnerLimits limits;
    for (const auto& [key, host] : owner.hosts)
        limits = strictest(limits, host.limits);
    const double part = 1 - m_options.reserve;
    return { .requestsPerSecond = limits.requestsPerSecond * part,
        .requestsInFlight = static_cast<int>(limits.requestsInFlight * part),
        .tokensPerSecond = limits.tokensPerSecond * part };
}

OwnerShare ShareLedger::available(
    const OwnerRecord& owner, const HostKey& host, TimePoint now) const
{
    OwnerShare left = grantable(owner);
    for (const auto& [key, other] : owner.hosts) {
        if (key == host)
            continue;
        const OwnerShare used = counted(other, now);
        left.requestsPerSecond -= used.requestsPerSecond;
        left.requestsInFlight -= used.requestsInFlight;
        left.tokensPerSecond -= used.tokensPerSecond;
    }
    return { .requestsPerSecond = std::max(0.0, left.requestsPerSecond),
        .requestsInFlight = std::max(0, left.requestsInFlight),
        .tokensPerSecond = std::max(0.0, left.tokensPerSecond) };
}

OwnerShare ShareLedger::target(
    const OwnerRecord& owner, const HostKey& host, TimePoint now) const
{
    // What the hosts may have together, and each one's part of it by demand.
    const OwnerShare total = grantable(owner);
    std::vector<double> requests;
    std::vector<double> inFlight;
    std::vector<double> tokens;
    std::size_t own = 0;
    for (const auto& [key, other] : owner.hosts) {
        if (key == host)
            own = requests.size();
        else if (now - other.askedAt > m_options.lifetime)
            continue;
        requests.push_back(other.demand.requestsPerSecond * headroom);
        inFlight.push_back(other.demand.requestsInFlight * headroom);
        tokens.push_back(other.demand.tokensPerSecond * headroom);
    }
    return { .requestsPerSecond = fairDivision(requests, total.requestsPerSecond)[own],
        .requestsInFlight
        = static_cast<int>(fairDivision(inFlight, total.requestsInFlight)[own]),
        .tokensPerSecond = fairDivision(tokens, total.tokensPerSecond)[own] };
}

OwnerShare ShareLedger::shareFor(
    const OwnerRecord& owner, const HostKey& host, const OwnerShareReport& ask, TimePoint now) const
{
    const TimePoint free = owner.homeSince + m_options.evidence + m_options.lifetime;
    const OwnerShare renewed = ask.validFor > Milliseconds(0)
        ? lesser(ask.inForce, grantable(owner))
        : OwnerShare {};
    if (now < free)
        return renewed;
    OwnerShare share = lesser(target(owner, host, now), available(owner, host, now));
    if (now < free + m_options.longestRequest)
        share.requestsInFlight = renewed.requestsInFlight;
    return share;
}

}
