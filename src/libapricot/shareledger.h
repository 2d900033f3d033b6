#pragma once

#include "libapricot/controlview.h"
#include "libapricot/ownershare.h"

#include <map>
#include <optional>

namespace Apricot {

// Grants the shares of the owners whose home this host is. What is granted and may still be used,
// with the hosts' reserve, never exceeds an owner's limits:
//  - every grant counts until it expires or its host confirms a later one; its requests in flight
//    count for as long as a request can last;
//  - a new home grants nothing while its predecessor may still grant, then only renews what hosts
//    show, and divides freely once every older grant has expired. When the cell itself is new, there
//    are no older grants, and only its first members are waited for.
class ShareLedger {
public:
    explicit ShareLedger(OwnerShareOptions options = {});

    // Takes over the newest view. To be called at every change and at least every second.
    void observe(const ControlView& view, TimePoint now);
    // Answers a host. Owners whose home this is not, or which must wait, are left out.
    ShareResponse respondTo(const ShareRequest& request, const ControlView& view, TimePoint now);

    std::size_t owners() const { return m_owners.size(); }

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
    OwnerShare shareFor(
        const OwnerState& owner, const HostKey& host, const OwnerShareReport& report, TimePoint now) const;

    OwnerShareOptions m_options;
    HostId m_self;
    std::string m_incarnation;
    std::map<OwnerId, OwnerState> m_owners;
    std::vector<Membership> m_memberships;
    std::uint64_t m_membershipNumber = 0;
    TimePoint m_permittedUntil {};
    bool m_wasPermitted = false;
    // When the first members of a new cell have settled; nothing for other members.
    std::optional<TimePoint> m_startupEndsAt;
    std::uint64_t m_sequence = 0;
};

// Divides a total so that small wants are met and the others get equal parts. What is left over when
// all are met is divided evenly.
std::vector<double> divideFairly(const std::vector<double>& demands, double total);

}
