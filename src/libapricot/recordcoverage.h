#pragma once

#include "libapricot/cellstate.h"
#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <compare>
#include <deque>
#include <string>
#include <vector>

namespace Apricot {

// Hosts in order for a key that may run its request and hold its record.
constexpr std::size_t recordHoldersPerKey = 3;

// A process that may hold records.
struct RecordHolder {
    HostId host;
    std::string incarnation;

    auto operator<=>(const RecordHolder&) const = default;
};

// Decides whether this process knows all that was ever sent for a key. A stage is sent only after
// the record stands on two of the key's first three hosts, so the records of an epoch are known once
// two of these three have answered.
class RecordCoverage {
public:
    // A process that has not observed the members for longer than the gap may have been removed and
    // taken in again meanwhile, so what it knew counts no more.
    explicit RecordCoverage(Milliseconds retention, Milliseconds maxObservationGap)
        : m_retention(retention)
        , m_maxObservationGap(maxObservationGap)
    {
    }

    // Takes in the members of the newest epoch. To be called more often than the longest gap.
    void observe(const std::vector<Member>& members, TimePoint now);
    // Whether this process, with those that it asked about the key, holds all records of the key
    // that were kept within the retention time.
    bool isComplete(
        const RequestKey& key, const std::vector<RecordHolder>& responded, TimePoint now) const;
    // Whether this process has been one of the key's first three hosts for the whole retention time.
    bool isHolder(const RequestKey& key, const RecordHolder& self, TimePoint now) const;
    // Notes that records were dropped before their time.
    void recordLoss(TimePoint now) { m_incompleteUntil = now + m_retention; }

private:
    struct Epoch {
        TimePoint since {};
        std::vector<RecordHolder> members;
    };

    // Whether the epochs are known without a gap for the whole retention time.
    bool hasFullHistory(TimePoint now) const;

    Milliseconds m_retention;
    Milliseconds m_maxObservationGap;
    TimePoint m_observedAt {};
    std::deque<Epoch> m_epochs;
    TimePoint m_incompleteUntil {};
};

}
