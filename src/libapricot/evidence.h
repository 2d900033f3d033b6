#pragma once

#include "libapricot/cellheartbeat.h"
#include "libapricot/peercontacts.h"

#include <deque>
#include <optional>

namespace Apricot {

// How long evidence permits new work.
struct EvidenceOptions {
    // Counted from when the cell's version was proven to be the newest, or from when the request
    // was sent that a peer responded to.
    Milliseconds evidenceLease { 3000 };
    // Counted from when the configuration was proven to be the newest.
    Milliseconds configLease { 5000 };

    auto operator<=>(const EvidenceOptions&) const = default;
};

// Proof that a version of the cell's object was the newest one at a given time.
struct Evidence {
    ObjectVersion version = 0;
    TimePoint provenAt {};

    auto operator<=>(const Evidence&) const = default;
};

// State from which a daemon determines how long it may start new work.
struct KnownState {
    HostId self;
    std::string incarnation;
    const CellState& cell;
    ObjectVersion epoch = 0;
    // Revision up to which the configuration is known. It uses the same counter as epochs, so a
    // proof for a version up to this revision also proves the configuration.
    ObjectVersion configRevision = 0;
};

// Lease based on evidence. Only a write that the platform accepted starts a lease, counted from
// when the write began; reads never do.
class EvidenceLease {
public:
    explicit EvidenceLease(EvidenceOptions options = {});

    // Records an accepted write of this daemon.
    void recordAcceptedWrite(ObjectVersion version, TimePoint begunAt);
    // Records a peer's proof. Its age is subtracted from the time at which the request was sent,
    // not from the time of the response.
    void recordProof(const EvidenceProof& proof, TimePoint requestSentAt);

    // Records a call that the platform did not answer, with the time at which the call began. The
    // only member of a cell continues without evidence only while it finds the platform
    // unreachable.
    void recordPlatformFailure(TimePoint begunAt);

    // Newest proof, with its age rounded up; nullopt once it has expired.
    std::optional<EvidenceProof> proof(TimePoint now) const;
    // Time until which the daemon may start new work: while it has evidence of the cell and of the
    // configuration, or while more than half of the members respond, counting only those that know
    // nothing newer.
    TimePoint permittedUntil(const KnownState& known, const PeerContacts& contacts) const;

    // Time until which evidence alone permits new work.
    TimePoint evidenceUntil(const KnownState& known) const;

private:
    void record(const Evidence& evidence);
    TimePoint majorityUntil(const KnownState& known, const PeerContacts& contacts) const;

    EvidenceOptions m_options;
    // Sorted by ascending version and time.
    std::deque<Evidence> m_evidence;
    TimePoint m_platformFailedAt {};
};

}
