#pragma once

#include "libapricot/cellplanner.h"
#include "libapricot/evidence.h"

#include <variant>

namespace Apricot {

struct CellMembershipOptions {
    Member self;
    EvidenceOptions evidence;
    // Time between two renewals by the writer.
    Milliseconds renewInterval { 1000 };
    // Shortest time between two writes, when there is something to change.
    Milliseconds changeInterval { 250 };
    // Renewals that must be missing before another member takes the writing over.
    int missedRenewals = 3;
    // Added for each member that stands before this one in the order of succession.
    Milliseconds successionStep { 250 };
    // Time between two reads by a daemon that learns of no renewal.
    Milliseconds readInterval { 1000 };
    Milliseconds removalTime { 4000 };
    // How long a writer that hears too few stays away from writing once another one took over none.
    Milliseconds yieldInterval { 60000 };
};

// The cell's object as a read or a conflict showed it.
struct VersionedCell {
    CellState state;
    ObjectVersion version = 0;

    auto operator<=>(const VersionedCell&) const = default;
};

// Asks for a read of the cell's object.
struct ReadCell {
    auto operator<=>(const ReadCell&) const = default;
};

// Asks for a conditional write of the cell's object.
struct WriteCell {
    CellState state;
    ObjectVersion ifVersion = 0;

    auto operator<=>(const WriteCell&) const = default;
};

using CellAction = std::variant<ReadCell, WriteCell>;

// How a write of the cell's object ended.
struct CellWriteAccepted {
    ObjectVersion version = 0;
};
struct CellWriteConflict {
    std::optional<VersionedCell> current;
};
// Nothing was written.
struct CellWriteRefused { };
// The write may have taken effect, or may still.
struct CellWriteUnknown { };

using CellWriteOutcome
    = std::variant<CellWriteAccepted, CellWriteConflict, CellWriteRefused, CellWriteUnknown>;

// A daemon's part in its cell: what it knows of the cell, when it renews or takes over the writing,
// and how long it may start new work. It does no I/O: the caller performs the actions that tick()
// returns and asks the peers that listPeers() names, and hands the results back.
class CellMembership {
public:
    CellMembership(CellMembershipOptions options, TimePoint now);

    // What has to be done now. A write or read that is under way is not asked for again.
    std::vector<CellAction> tick(TimePoint now);
    void onRead(const std::optional<VersionedCell>& cell, TimePoint now);
    void onReadFailed();
    void onWriteFinished(const WriteCell& write, const CellWriteOutcome& outcome, TimePoint begunAt,
        TimePoint now);

    // Processes to ask: all other members, and removed ones that may still be running.
    std::vector<Member> listPeers() const;
    CellHeartbeat makeHeartbeat() const;
    CellHeartbeatResponse respondTo(const CellHeartbeat& heartbeat, TimePoint now);
    // Takes the answer of a peer to a question that was meant for a certain process.
    void onHeartbeatResponse(
        const ProcessId& addressee, const CellHeartbeatResponse& response, TimePoint requestSentAt,
        TimePoint now);
    void onProcessGone(const ProcessId& process);

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue, ObjectVersion configRevision);
    void setHomeReport(HomeReport report) { m_homeReport = std::move(report); }
    // Gives the replicas away and takes no new ones.
    void beginLeaving() { m_options.self.state = MemberState::Leaving; }
    // Asks to be removed; only once this process holds no replica any more.
    void finishLeaving() { m_intent = MembershipIntent::Leave; }
    // Joins again after a removal. The caller has made sure that no call that this process sent as a
    // home under its earlier incarnation is in flight.
    void rejoin(std::string incarnation);

    const CellState& state() const { return m_state; }
    ObjectVersion epoch() const { return m_epoch; }
    const Member& self() const { return m_options.self; }
    bool isMember() const;
    bool isWriter() const;
    // Whether this process was a member and the cell has removed it.
    bool isRemoved() const { return m_wasMember && !isMember(); }
    // Until when this daemon may start new work, and how much of that rests on evidence alone.
    TimePoint permittedUntil() const;
    TimePoint evidenceUntil() const;
    // Highest epoch that more than half of the members have acknowledged.
    ObjectVersion acknowledgedEpoch() const;
    // Newest proof that this daemon could give to a peer.
    std::optional<EvidenceProof> proof(TimePoint now) const { return m_lease.proof(now); }
    const PeerContacts& contacts() const { return m_contacts; }

private:
    KnownState knownState() const;
    void applyState(const CellState& state, ObjectVersion version, TimePoint now);
    void evictExpired(TimePoint now);
    CellState planNext(TimePoint now) const;
    std::optional<WriteCell> chooseWrite(TimePoint now);
    bool isWriteDue(const CellState& next, TimePoint now) const;
    bool isTakeoverDue(TimePoint now) const;
    bool hasTooFewContacts(TimePoint now) const;
    // Lets another member take the writing over, when this one hears too few.
    bool shouldYield(TimePoint now);
    void onWriteConflict(const WriteCell& write, const CellWriteConflict& conflict, TimePoint now);

    CellMembershipOptions m_options;
    MembershipIntent m_intent = MembershipIntent::Stay;
    HomeReport m_homeReport;
    CellState m_state;
    ObjectVersion m_epoch = 0;
    // Version that the next write is conditional on: the epoch, or zero while the object is missing.
    ObjectVersion m_ifVersion = 0;
    bool m_isStateKnown = false;
    bool m_wasMember = false;
    EvidenceLease m_lease;
    PeerContacts m_contacts;
    std::map<HostId, ReceivedHeartbeat> m_heartbeats;
    std::shared_ptr<const Catalogue> m_catalogue;
    ObjectVersion m_configRevision = 0;
    TimePoint m_startedAt;
    TimePoint m_epochChangedAt;
    TimePoint m_writeBegunAt {};
    TimePoint m_readBegunAt {};
    TimePoint m_yieldStartedAt {};
    // Since when this daemon has been the writer without a break.
    TimePoint m_writerSince {};
    bool m_isWriting = false;
    bool m_isReading = false;
    // Begin of the first write with an unknown outcome since the last one that was settled.
    std::optional<TimePoint> m_unknownOutcomeSince;
};

}
