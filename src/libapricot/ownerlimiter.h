#pragma once

#include "libapricot/controlview.h"
#include "libapricot/decay.h"
#include "libapricot/ownershare.h"
#include "libapricot/refusal.h"
#include "libapricot/tokenbucket.h"

#include <map>
#include <optional>

namespace Apricot {

// Enforces one host's shares of the owners' limits. Admission never waits: it uses the reserve and the
// last grant, while the next shares are requested in the background.
class OwnerLimiter {
public:
    explicit OwnerLimiter(OwnerShareOptions options = {});

    // Admits a request of the owner and returns nothing, or returns the refusal.
    std::optional<Refusal> admit(
        const OwnerId& owner, const OwnerLimits& limits, int expectedTokens, TimePoint now);
    // Reports the end of an admitted request and the tokens that it actually used.
    void onRequestFinished(const OwnerId& owner, int tokens, TimePoint now);

    // Returns the share requests to send now, by home. Removes owners without recent use.
    std::map<HostId, ShareRequest> shareRequests(const ControlView& view, TimePoint now);
    // Applies the grants of a response, except for owners whose later request has already been
    // responded to or whose home has changed since the request.
    void applyResponse(const ShareResponse& response, TimePoint now);

    // Sum of the reserve and the unexpired grant.
    OwnerShare currentShare(const OwnerId& owner, TimePoint now) const;
    int requestsInFlight(const OwnerId& owner) const;
    bool contains(const OwnerId& owner) const { return m_owners.contains(owner); }
    // Owners with recent requests.
    std::vector<OwnerId> ownerIds() const;

private:
    struct Grant {
        std::string grantedBy;
        std::uint64_t sequence = 0;
        OwnerShare share;
        TimePoint expires {};
    };
    struct OwnerState {
        OwnerLimits limits;
        Grant grant;
        TokenBucket requestBucket;
        TokenBucket tokenBucket;
        int inFlight = 0;
        double expectedTokens = 0;
        // Exponentially decaying counts of all requests and tokens, and of requests refused because of
        // the in-flight limit.
        double requestDemand = 0;
        double tokenDemand = 0;
        double refusedInFlight = 0;
        TimePoint demandAt {};
        // Home that shares are requested from, and the number of the first request to it. Responses to
        // earlier requests are ignored.
        HostId requestedHome;
        std::uint64_t firstRequestNumber = 0;
        std::uint64_t appliedNumber = 0;
    };

    OwnerShare share(const OwnerState& state, TimePoint now) const;
    void updateRates(OwnerState& state, TimePoint now);
    static void recordDemand(OwnerState& state, int expectedTokens, TimePoint now);
    bool isIdle(const OwnerState& state, TimePoint now) const;
    OwnerShareReport makeReport(const OwnerId& owner, const OwnerState& state, TimePoint now) const;
    void changeHome(OwnerState& state, HostId home);
    void updateHostCount(const ControlView& view, TimePoint now);

    OwnerShareOptions m_options;
    std::map<OwnerId, OwnerState> m_owners;
    std::uint64_t m_lastRequestNumber = 0;
    // Cell state for which the owners' homes were ranked.
    std::shared_ptr<const CellState> m_rankedCell;
    // Send times of recent requests, by number.
    std::map<std::uint64_t, TimePoint> m_requestSentAt;
    // Largest recent number of members, which the reserve is divided by.
    std::size_t m_reserveHostCount = 0;
    // Member counts seen, with the time of the last observation.
    std::map<std::size_t, TimePoint> m_recentHostCounts;
    std::optional<TimePoint> m_firstViewAt;
    bool m_hasReserve = true;
};

// The host that grants the owner's shares: the first of the live members in rendezvous order. Empty if
// there are no live members.
HostId ownerHome(const OwnerId& owner, const CellState& cell);

}
