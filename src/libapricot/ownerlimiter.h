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
    void applyResponse(const ShareResponse& answer, TimePoint now);

    // Reserve and unexpired grant together.
    OwnerShare shareInForce(const OwnerId& owner, TimePoint now) const;
    int requestsInFlight(const OwnerId& owner) const;
    bool knows(const OwnerId& owner) const { return m_records.contains(owner); }
    // Owners with recent use.
    std::vector<OwnerId> ownerIds() const;

private:
    struct Grant {
        std::string grantedBy;
        std::uint64_t sequence = 0;
        OwnerShare share;
        TimePoint expires {};
    };
    struct Record {
        OwnerLimits limits;
        Grant grant;
        TokenBucket requests;
        TokenBucket tokens;
        int inFlight = 0;
        double expectedTokens = 0;
        // Decaying counts of what came in, whether admitted or not.
        double requestDemand = 0;
        double tokenDemand = 0;
        double refusedInFlight = 0;
        TimePoint demandAt {};
        // The home that is asked and the first question to it, to tell which answers are still good.
        HostId askedHome;
        std::uint64_t firstAsked = 0;
        std::uint64_t answeredNumber = 0;
    };

    OwnerShare share(const Record& record, TimePoint now) const;
    void updateRates(Record& record, TimePoint now);
    static void countDemand(Record& record, int expectedTokens, TimePoint now);
    bool isIdle(const Record& record, TimePoint now) const;
    OwnerShareReport makeAsk(const OwnerId& owner, const Record& record, TimePoint now) const;
    void changeHome(Record& record, HostId home);
    void updateHosts(const ControlView& view, TimePoint now);

    OwnerShareOptions m_options;
    std::map<OwnerId, Record> m_records;
    std::uint64_t m_number = 0;
    // The cell for which the owners' homes were ranked.
    std::shared_ptr<const CellState> m_rankedCell;
    // Instants at which recent questions were asked.
    std::map<std::uint64_t, TimePoint> m_askedAt;
    // Most hosts that the reserve may be divided between, lately and now.
    std::size_t m_hosts = 0;
    std::map<std::size_t, TimePoint> m_hostsSeen;
    std::optional<TimePoint> m_firstSeen;
    bool m_hasReserve = true;
};

// The host that grants an owner's shares: first in rendezvous order over the live members. Empty
// without members.
HostId ownerHome(const OwnerId& owner, const CellState& cell);

}
