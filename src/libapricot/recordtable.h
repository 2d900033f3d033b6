#pragma once

#include "libapricot/keyvalidity.h"
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
    // How long a record is retained after its last use.
    Milliseconds retention { 600'000 };
    // Longest time between two observations of the members; must be less than the time after which an
    // unresponsive member is removed.
    Milliseconds maxObservationGap { 2000 };
    std::size_t maxRecords = 50'000;
    std::size_t maxBytes = 268'435'456;
    RequestRecordOptions record;
};

// A request as received from a caller.
struct IncomingRequest {
    RequestKey key;
    bool keyFromCaller = false;
    std::string input;
};

// All records of a process: those that it runs as coordinator, and the copies that it stores as
// follower. Memory is bounded; a running record is never evicted.
class RecordTable {
public:
    explicit RecordTable(RecordTableOptions options);

    // Returns the record for the request: an existing one, one created from a copy, or a new one.
    // Returns a refusal if the key can't be used for the request or the table is full.
    std::variant<std::shared_ptr<RequestRecord>, Refusal> open(const IncomingRequest& incoming,
        const CatalogueEntry& entry, TimePoint now, WallTime wallNow);
    // The record of a key that this process runs or has run, otherwise null.
    std::shared_ptr<RequestRecord> find(const RequestKey& key) const;
    // Stores a copy from another coordinator. The response contains what this process knows of the key.
    // Opening: the other coordinator starts to run the request.
    CopyResponse store(const RecordCopy& copy, bool opening, TimePoint now);

    RecordCoverage& coverage() { return m_coverage; }
    // Whether this process and those that responded have all records of the key.
    bool hasAllRecords(
        const RequestKey& key, const std::vector<CopyResponse>& responses, TimePoint now) const;
    // Corrects a refusal with the run state NotRun: to what this process knows of the key, and to
    // Unknown if the key was given by the caller and hasAllRecords() doesn't hold.
    Refusal limitToKnownRecords(Refusal refusal, const IncomingRequest& incoming,
        const std::vector<CopyResponse>& responses, TimePoint now) const;

    // Removes records and copies whose retention time has ended, and more if the table is full.
    void evict(TimePoint now);
    std::size_t recordCount() const { return m_records.size(); }
    std::size_t copyCount() const { return m_copies.size(); }
    const auto& records() const { return m_records; }

private:
    struct StoredCopy {
        RecordCopy copy;
        // Merged copy of earlier coordinators. Returned each time the current coordinator starts to run
        // the request, since the first response may have been lost.
        std::optional<RecordCopy> inherited;
        TimePoint storedAt {};
    };

    RanState localRanState(const RequestKey& key) const;
    // Merges the copies of the current and the earlier coordinators.
    static RecordCopy mergeCopies(const StoredCopy& stored);
    std::size_t sizeBytes() const;
    std::size_t removeUnusedSince(TimePoint lastUse);
    bool isFull() const;

    RecordTableOptions m_options;
    std::unordered_map<RequestKey, std::shared_ptr<RequestRecord>> m_records;
    std::unordered_map<RequestKey, StoredCopy> m_copies;
    RecordCoverage m_coverage;
    std::uint64_t m_createdRecordCount = 0;
    // Size in bytes at the last evict(), plus what has been added since.
    std::size_t m_bytes = 0;
};

}
