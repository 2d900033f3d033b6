#pragma once

#include "libapricot/controlview.h"
#include "libapricot/decay.h"
#include "libapricot/ownershare.h"
#include "libapricot/refusal.h"
#include "libapricot/tokenbucket.h"

#include <map>
#include <optional>

namespace Apricot {

// Holds one host to its shares of the owners' limits. Admission never waits: it goes by the reserve
// and the last grant, while requests for the next shares are made in the background.
class OwnerLimiter {
public:
    explicit OwnerLimiter(OwnerShareOptions options = {});

    // Counts a request of the owner, or says why it may not run now.
    std::optional<Refusal> admit(
        const OwnerId& owner, const OwnerLimits& limits, int expectedTokens, TimePoint now);
    // Counts the end of an admitted request and the tokens that it really took.
    void onRequestFinished(const OwnerId& owner, int tokens, TimePoint now);

    // Requests to send now, by the owners' homes in the given view. Drops owners without recent use.
    std::map<HostId, ShareRequest> shareRequests(const ControlView& view, TimePoint now);
    // Takes over the grants of an answer, unless a later request has been answered before or the
    // owner's home has changed since the question.
    void applyResponse(const ShareResponse& response, TimePoint now);

    // Reserve and unexpired grant together.
    OwnerShare shareInForce(const OwnerId& owner, TimePoint now) const;
    int requestsInFlight(const OwnerId& owner) const;
    bool knows(const OwnerId& owner) const { return m_owners.contains(owner); }
    // Owners with recent use.
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
        // Decaying counts of what came in, whether admitted or not.
        double requestDemand = 0;
        double tokenDemand = 0;
        double refusedInFlight = 0;
        TimePoint demandAt {};
        // The home that is asked and the first question to it, to tell which answers are still good.
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
    // The cell for which the owners' homes were ranked.
    std::shared_ptr<const CellState> m_rankedCell;
    // Instants at which recent questions were asked.
    std::map<std::uint64_t, TimePoint> m_requestSentAt;
    // Most hosts that the reserve may be divided between, lately and now.
    std::size_t m_reserveHostCount = 0;
    std::map<std::size_t, TimePoint> m_recentHostCounts;
    std::optional<TimePoint> m_firstViewAt;
    bool m_hasReserve = true;
};

// The host that grants an owner's shares: first in rendezvous order over the live members. Empty
// without members.
HostId ownerHome(const OwnerId& owner, const CellState& cell);

}
