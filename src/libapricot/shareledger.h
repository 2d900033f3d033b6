#pragma once

#include "libapricot/controlview.h"
#include "libapricot/ownershare.h"

#include <map>
#include <optional>

namespace Apricot {

// Grants shares for the owners whose home is this host. The sum of the grants that may still be in use
// and the hosts' reserves never exceeds the limits of an owner:
//  - A grant counts until it expires or its host confirms a later one. Its requests in flight count for
//    as long as a request can last.
//  - A new home grants nothing while its predecessor may still grant, then only renews the grants that
//    hosts report, and divides freely once every older grant has expired. In a new cell there are no
//    older grants, and only its first members are waited for.
class ShareLedger {
public:
    explicit ShareLedger(OwnerShareOptions options = {});

    // Applies the newest view. Must be called at every change and at least once a second.
    void observe(const ControlView& view, TimePoint now);
    // Returns the response to a host. Owners that have another home, or whose home may not grant yet,
    // are left out.
    ShareResponse respondTo(const ShareRequest& request, const ControlView& view, TimePoint now);

    std::size_t ownerCount() const { return m_owners.size(); }

private:
    struct OutstandingGrant {
        std::uint64_t sequence = 0;
        OwnerShare share;
        TimePoint expires {};
    };
    struct HostState {
        std::uint64_t lastRequestNumber = 0;
        OwnerLimits limits;
        OwnerShare demand;
        int inFlightBeyondReserve = 0;
        TimePoint reportedAt {};
        std::vector<OutstandingGrant> grants;
    };
    using HostKey = std::pair<HostId, std::string>;
    struct OwnerState {
        TimePoint homeSince {};
        std::uint64_t membershipNumber = 0;
        std::map<HostKey, HostState> hosts;
    };
    struct Membership {
        std::uint64_t number = 0;
        TimePoint since {};
        CellState cell;
    };

    std::optional<ShareGrant> grant(
        const HostKey& host, std::uint64_t number, const OwnerShareReport& report, TimePoint now);
    OwnerState& ownerState(const OwnerId& owner);
    const Membership& firstMembershipAsHome(const OwnerId& owner) const;
    void addMembership(const CellState& cell, TimePoint now);
    Duration maxGrantAge() const;
    void applyReport(HostState& host, const OwnerShareReport& report, TimePoint now) const;
    void removeExpired(OwnerState& owner, TimePoint now) const;
    OwnerShare committedShare(const HostState& host, TimePoint now) const;
    OwnerShare grantable(const OwnerState& owner) const;
    OwnerShare available(const OwnerState& owner, const HostKey& host, TimePoint now) const;
    OwnerShare fairShare(const OwnerState& owner, const HostKey& host, TimePoint now) const;
    OwnerShare shareFor(const OwnerState& owner, const HostKey& host,
        const OwnerShareReport& report, TimePoint now) const;

    OwnerShareOptions m_options;
    HostId m_self;
    std::string m_incarnation;
    std::map<OwnerId, OwnerState> m_owners;
    std::vector<Membership> m_memberships;
    std::uint64_t m_membershipNumber = 0;
    TimePoint m_permittedUntil {};
    bool m_wasPermitted = false;
    // End of the startup phase of a new cell, during which its first members grant nothing; unset on
    // hosts that joined later.
    std::optional<TimePoint> m_startupEndsAt;
    std::uint64_t m_sequence = 0;
};

// Divides a total by max-min fairness: small demands are met, the others get equal parts. If all are
// met, the remainder is divided evenly.
std::vector<double> divideFairly(const std::vector<double>& demands, double total);

}
