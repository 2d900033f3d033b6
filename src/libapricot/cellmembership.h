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
    // Minimum time between two writes while there is something to change.
    Milliseconds changeInterval { 250 };
    // Number of missed renewals after which another member takes over as writer.
    int missedRenewals = 3;
    // Additional take-over delay for each member ahead of this one in the order of succession.
    Milliseconds successionStep { 250 };
    // Time between two reads while the daemon sees no renewal.
    Milliseconds readInterval { 1000 };
    Milliseconds removalTime { 4000 };
    // Minimum time between the starts of two yields by a writer that reaches fewer than half of the
    // members.
    Milliseconds yieldInterval { 60000 };
};

// The cell's object as returned by a read or a write conflict.
struct VersionedCell {
    CellState state;
    ObjectVersion version = 0;

    auto operator<=>(const VersionedCell&) const = default;
};

// Requests a read of the cell's object.
struct ReadCell {
    auto operator<=>(const ReadCell&) const = default;
};

// Requests a conditional write of the cell's object.
struct WriteCell {
    CellState state;
    ObjectVersion ifVersion = 0;

    auto operator<=>(const WriteCell&) const = default;
};

using CellAction = std::variant<ReadCell, WriteCell>;

// Outcome of a write of the cell's object.
struct CellWriteAccepted {
    ObjectVersion version = 0;
};
struct CellWriteConflict {
    std::optional<VersionedCell> current;
};
// Nothing was written.
struct CellWriteRefused { };
// The write may have been applied, or may still be.
struct CellWriteUnknown { };

using CellWriteOutcome
    = std::variant<CellWriteAccepted, CellWriteConflict, CellWriteRefused, CellWriteUnknown>;

// Membership of a daemon in its cell: the cell state that it knows, when it renews that state or
// takes over as writer, and how long it may start new work. Performs no I/O: the caller executes
// the actions that tick() returns, sends heartbeats to the processes that listPeers() returns, and
// passes the results back.
class CellMembership {
public:
    CellMembership(CellMembershipOptions options, TimePoint now);

    // Returns the actions that are due. A read or write in progress is not requested again.
    std::vector<CellAction> tick(TimePoint now);
    void onRead(const std::optional<VersionedCell>& cell, TimePoint now);
    void onReadFailed();
    void onWriteFinished(const WriteCell& write, const CellWriteOutcome& outcome, TimePoint begunAt,
        TimePoint now);

    // Recipients of heartbeats: all other members, and removed ones that may still be running.
    std::vector<Member> listPeers() const;
    CellHeartbeat makeHeartbeat() const;
    CellHeartbeatResponse respondTo(const CellHeartbeat& heartbeat, TimePoint now);
    // Handles the response of a peer to a heartbeat that was addressed to a particular process.
    void onHeartbeatResponse(
        const ProcessId& addressee, const CellHeartbeatResponse& response, TimePoint requestSentAt,
        TimePoint now);
    void onProcessGone(const ProcessId& process);

    void setCatalogue(std::shared_ptr<const Catalogue> catalogue, ObjectVersion configRevision);
    void setHomeReport(HomeReport report) { m_homeReport = std::move(report); }
    // Hands the replicas over and accepts no new ones.
    void beginLeaving() { m_options.self.state = MemberState::Leaving; }
    // Requests removal. May be called only once this process is home of no replica.
    void finishLeaving() { m_intent = MembershipIntent::Leave; }
    // Rejoins the cell after a removal. The caller must ensure that no call that this process sent
    // as a home under its earlier incarnation is still in flight.
    void rejoin(std::string incarnation);

    const CellState& state() const { return m_state; }
    ObjectVersion epoch() const { return m_epoch; }
    const Member& self() const { return m_options.self; }
    bool isMember() const;
    bool isWriter() const;
    // Whether this process was a member and the cell has removed it.
    bool isRemoved() const { return m_wasMember && !isMember(); }
    // Time until which this daemon may start new work, and the time until which evidence alone
    // permits it.
    TimePoint permittedUntil() const;
    TimePoint evidenceUntil() const;
    // Highest epoch that more than half of the members have acknowledged.
    ObjectVersion acknowledgedEpoch() const;
    // Newest proof that this daemon can send to a peer.
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
    // Whether to pause writing so that another member can take over, because this daemon reaches
    // fewer than half of the members.
    bool shouldYield(TimePoint now);
    void onWriteConflict(const WriteCell& write, const CellWriteConflict& conflict, TimePoint now);

    CellMembershipOptions m_options;
    MembershipIntent m_intent = MembershipIntent::Stay;
    HomeReport m_homeReport;
    CellState m_state;
    ObjectVersion m_epoch = 0;
    // Version on which the next write is conditional: the epoch, or zero while the object does not
    // exist.
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
    // Time since which this daemon has been the writer without interruption.
    TimePoint m_writerSince {};
    bool m_isWriting = false;
    bool m_isReading = false;
    // Start of the first write with an unknown outcome after the last write with a known one.
    std::optional<TimePoint> m_unknownOutcomeSince;
};

}
