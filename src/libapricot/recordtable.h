#pragma once

#include "libapricot/keyage.h"
#include "libapricot/recordcoverage.h"
#include "libapricot/requestrecord.h"

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>
#include <variant>

namespace Apricot {

struct RecordTableOptions {
    HostId host;
    std::string incarnation;
    // How long a record is kept after its last use.
    Milliseconds retention { 600'000 };
    // Longest time between two observations of the members; below the time after which a silent
    // member is removed.
    Milliseconds maxObservationGap { 2000 };
    std::size_t maxRecords = 50'000;
    std::size_t maxBytes = 268'435'456;
    RequestRecordOptions record;
};

// A request as a caller asks for it.
struct RequestOpening {
    RequestKey key;
    bool keyFromCaller = false;
    std::string input;
};

// All records of a process: those that it runs as coordinator, and the copies that it keeps as
// follower. Memory is bounded; a record that runs is never dropped.
class RecordTable {
public:
    explicit RecordTable(RecordTableOptions options);

    // The record for a request of this key, made from a copy or new; or the refusal of a key that
    // can't be used for it.
    std::variant<std::shared_ptr<RequestRecord>, Refusal> open(const RequestOpening& opening,
        const CatalogueEntry& entry, TimePoint now, WallTime wallNow);
    // The record of a key, if this process has run it.
    std::shared_ptr<RequestRecord> find(const RequestKey& key) const;
    // Keeps another coordinator's copy and answers what this process knows of the key.
    CopyResponse store(const RecordCopy& copy, bool opening, TimePoint now);

    RecordCoverage& coverage() { return m_coverage; }
    // Whether this process and those that answered about the key know all that was sent for it.
    bool isKnown(const RequestKey& key, const std::vector<CopyResponse>& responses, TimePoint now) const;
    // The refusal as it may be told: "not run" only where this process, with those that answered
    // about the key, knows all that was ever sent for it.
    Refusal limitToKnown(Refusal refusal, const RequestOpening& opening,
        const std::vector<CopyResponse>& responses, TimePoint now) const;

    // Drops what has been kept for the retention time, and more where memory is short.
    void evict(TimePoint now);
    std::size_t recordCount() const { return m_records.size(); }
    std::size_t copyCount() const { return m_copies.size(); }
    const auto& records() const { return m_records; }

private:
    struct StoredCopy {
        RecordCopy copy;
        // What earlier coordinators knew. It is told whenever the present one begins to run the
        // request, since the first answer may have been lost.
        std::optional<RecordCopy> inherited;
        TimePoint storedAt {};
    };

    RanState localRanState(const RequestKey& key) const;
    // All that is known of a key from its present and earlier coordinators.
    static RecordCopy mergeCopies(const StoredCopy& stored);
    std::size_t sizeBytes() const;
    std::size_t removeUnusedSince(TimePoint lastUse);
    bool isFull() const;

    RecordTableOptions m_options;
    std::unordered_map<RequestKey, std::shared_ptr<RequestRecord>> m_records;
    std::unordered_map<RequestKey, StoredCopy> m_copies;
    RecordCoverage m_coverage;
    std::uint64_t m_createdRecordCount = 0;
    // Size when evict() last ran, and what has been added since.
    std::size_t m_bytes = 0;
};

}
