#pragma once

#include "libapricot/cellstate.h"
#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <compare>
#include <deque>
#include <string>
#include <vector>

namespace Apricot {

// Number of hosts, in rendezvous order of the key, that may run its request and store its record.
constexpr std::size_t recordHoldersPerKey = 3;

// A process that may store records.
struct RecordHolder {
    HostId host;
    std::string incarnation;

    auto operator<=>(const RecordHolder&) const = default;
};

// Determines whether all records of a key are known to this process. A stage is sent only after its
// record is stored on two of the key's first three hosts, so the records of an epoch are complete once
// two of these three hosts have responded.
class RecordCoverage {
public:
    // A process that has not observed the members for longer than the gap may have been removed and
    // added again in the meantime, so its history is discarded.
    explicit RecordCoverage(Milliseconds retention, Milliseconds maxObservationGap)
        : m_retention(retention)
        , m_maxObservationGap(maxObservationGap)
    {
    }

    // Records the members of the newest epoch. Must be called more often than maxObservationGap.
    void observe(const std::vector<Member>& members, TimePoint now);
    // Whether the holders that responded, which include this process, have all records of the key from
    // the retention time.
    bool isComplete(
        const RequestKey& key, const std::vector<RecordHolder>& responded, TimePoint now) const;
    // Whether this process has been one of the key's first three hosts for the whole retention time.
    bool isHolder(const RequestKey& key, const RecordHolder& self, TimePoint now) const;
    // Must be called after records were evicted before the end of their retention time.
    void recordLoss(TimePoint now) { m_incompleteUntil = now + m_retention; }

private:
    struct Epoch {
        TimePoint since {};
        std::vector<RecordHolder> members;
    };

    // Whether the epochs of the whole retention time are known without a gap.
    bool hasFullHistory(TimePoint now) const;

    Milliseconds m_retention;
    Milliseconds m_maxObservationGap;
    TimePoint m_observedAt {};
    std::deque<Epoch> m_epochs;
    TimePoint m_incompleteUntil {};
};

}
