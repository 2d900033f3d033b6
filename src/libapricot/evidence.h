#pragma once

#include "libapricot/cellheartbeat.h"
#include "libapricot/peercontacts.h"

#include <deque>
#include <optional>

namespace Apricot {

// How long knowledge permits new work.
struct EvidenceOptions {
    // Since the cell's version was proven to be the newest, or since a peer answered.
    Milliseconds evidenceLease { 3000 };
    // Since the configuration was proven to be the newest.
    Milliseconds configLease { 5000 };

    auto operator<=>(const EvidenceOptions&) const = default;
};

// Proof that a version of the cell's object was the newest at an instant.
struct Evidence {
    ObjectVersion version = 0;
    TimePoint provenAt {};

    auto operator<=>(const Evidence&) const = default;
};

// What a daemon knows when it asks how long it may start new work.
struct KnownState {
    HostId self;
    std::string incarnation;
    const CellState& cell;
    ObjectVersion epoch = 0;
    // Revision up to which the configuration is known. It uses the same counter as epochs, so a
    // proof for a version up to it proves the configuration as well.
    ObjectVersion configRevision = 0;
};

// The lease of evidence. Only a write that the platform accepted starts one, counted from when the
// write began; reads never do.
class EvidenceLease {
public:
    explicit EvidenceLease(EvidenceOptions options = {});

    // Takes the daemon's own accepted write.
    void recordAcceptedWrite(ObjectVersion version, TimePoint begunAt);
    // Takes a peer's proof; its age counts from before the question was asked.
    void recordProof(const EvidenceProof& proof, TimePoint requestSentAt);

    // Takes a call that the platform did not answer, counted from when the call began. A daemon that
    // is alone in its cell goes on only while it sees the platform down.
    void recordPlatformFailure(TimePoint begunAt);

    // Newest proof, with its age rounded up, while it lasts.
    std::optional<EvidenceProof> proof(TimePoint now) const;
    // Until when the daemon may start new work: while it has evidence of the cell and of the
    // configuration, or while it hears more than half of the members and none that knows more.
    TimePoint permittedUntil(const KnownState& known, const PeerContacts& contacts) const;

    // The part of it that rests on evidence alone.
    TimePoint evidenceUntil(const KnownState& known) const;

private:
    void record(const Evidence& evidence);
    TimePoint majorityUntil(const KnownState& known, const PeerContacts& contacts) const;

    EvidenceOptions m_options;
    // Rising in version and in time.
    std::deque<Evidence> m_evidence;
    TimePoint m_platformFailedAt {};
};

}
