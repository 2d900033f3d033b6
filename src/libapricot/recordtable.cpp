#include "libapricot/recordtable.h"

#include <algorithm>

namespace Apricot {

namespace {

    std::optional<Refusal> refusalForKey(
        const RequestKey& key, const CatalogueEntry& entry, WallTime wallNow)
    {
        const bool isIdempotent = std::all_of(entry.stages.begin(), entry.stages.end(),
            [](const StageSpec& stage) { return stage.idempotent; });
        const KeyValidity validity = validityOfKey(key, wallNow);
        if (isIdempotent || validity == KeyValidity::Usable)
            return std::nullopt;
        if (validity == KeyValidity::Expired)
            return Refusal { .reason = RefusalReason::KeyExpired,
                .ran = RanState::Unknown,
                .detail = "the key is older than the maximum key age of this pipeline" };
        return Refusal { .reason = RefusalReason::MalformedRequest,
            .ran = RanState::NotRun,
            .detail = "the key must be a version 7 UUID for this pipeline" };
    }

    // Bits of a revision that number the copies of one record; more than any record is written.
    constexpr unsigned revisionBits = 24;

    Refusal makeTableFullRefusal(Milliseconds retryAfter)
    {
        return Refusal { .reason = RefusalReason::Overloaded,
            .ran = RanState::Unknown,
            .retryAfter = retryAfter,
            .detail = "the record table of the host is full" };
    }

}

RecordTable::RecordTable(RecordTableOptions options)
    : m_options(std::move(options))
    , m_coverage(m_options.retention, m_options.maxObservationGap)
{
}

std::variant<std::shared_ptr<RequestRecord>, Refusal> RecordTable::open(
    const IncomingRequest& incoming, const CatalogueEntry& entry, TimePoint now, WallTime wallNow)
{
    if (std::shared_ptr<RequestRecord> known = find(incoming.key)) {
        const RecordCopy& copy = known->copy();
        if (copy.pipeline == entry.name && copy.input == incoming.input)
            return known;
        return Refusal { .reason = RefusalReason::KeyReused,
            .ran = RanState::Unknown,
            .detail = "the key was already used for a different request" };
    }
    if (std::optional<Refusal> refusal = refusalForKey(incoming.key, entry, wallNow))
        return *refusal;
    if (isFull())
        evict(now);
    if (isFull())
        return makeTableFullRefusal(m_options.record.failureRetryAfter);
    RequestRecordOptions options = m_options.record;
    options.key = incoming.key;
    options.entry = entry;
    options.input = incoming.input;
    options.coordinator = m_options.incarnation;
    options.firstRevision = (m_createdRecordCount + 1) << revisionBits;
    options.claimToken = m_options.incarnation + "/" + std::to_string(++m_createdRecordCount);
    auto record = std::make_shared<RequestRecord>(std::move(options));
    const auto stored = m_copies.find(incoming.key);
    if (stored != m_copies.end()) {
        const RecordCopy known = mergeCopies(stored->second);
        if (!record->copy().hasSameBody(known))
            return Refusal { .reason = RefusalReason::KeyReused,
                .ran = RanState::Unknown,
                .detail = "the key was already used for a different request" };
        record->inherit(known);
        m_copies.erase(stored);
    }
    m_records[incoming.key] = record;
    m_bytes += record->copy().sizeBytes();
    return record;
}

std::shared_ptr<RequestRecord> RecordTable::find(const RequestKey& key) const
{
    const auto found = m_records.find(key);
    return found == m_records.end() ? nullptr : found->second;
}

CopyResponse RecordTable::store(const RecordCopy& copy, bool opening, TimePoint now)
{
    CopyResponse response { .host = m_options.host, .incarnation = m_options.incarnation };
    const RecordHolder self { .host = m_options.host, .incarnation = m_options.incarnation };
    response.complete = m_coverage.isHolder(copy.key, self, now);
    if (const std::shared_ptr<RequestRecord> record = find(copy.key)) {
        response.running = record->isRunning();
        if (response.running)
            return response;
        // The other coordinator resumes the request, so this process becomes a follower with a copy.
        m_copies[copy.key] = StoredCopy { .copy = record->copy(), .storedAt = now };
        m_records.erase(copy.key);
    }
    m_bytes += copy.sizeBytes();
    const auto stored = m_copies.find(copy.key);
    if (stored == m_copies.end()) {
        m_copies[copy.key] = StoredCopy { .copy = copy, .storedAt = now };
        return response;
    }
    StoredCopy& known = stored->second;
    known.storedAt = now;
    const bool isSameCoordinator = known.copy.coordinator == copy.coordinator;
    response.superseded = isSameCoordinator ? copy.revision < known.copy.revision
                                            : !opening || copy.epoch < known.copy.epoch;
    if (response.superseded)
        return response;
    if (!isSameCoordinator)
        known.inherited = mergeCopies(known);
    if (opening && known.inherited) {
        response.found = true;
        response.copy = *known.inherited;
    }
    if (!known.inherited || known.inherited->hasSameBody(copy))
        known.copy = copy;
    return response;
}

bool RecordTable::hasAllRecords(
    const RequestKey& key, const std::vector<CopyResponse>& responses, TimePoint now) const
{
    const RecordHolder self { .host = m_options.host, .incarnation = m_options.incarnation };
    std::vector<RecordHolder> holders { self };
    std::size_t completeHolders = m_coverage.isHolder(key, self, now) ? 1 : 0;
    for (const CopyResponse& response : responses) {
        completeHolders += response.complete ? 1 : 0;
        holders.push_back({ .host = response.host, .incarnation = response.incarnation });
    }
    return completeHolders >= 2 || m_coverage.isComplete(key, holders, now);
}

RecordCopy RecordTable::mergeCopies(const StoredCopy& stored)
{
    RecordCopy merged = stored.copy;
    if (stored.inherited)
        merged.mergeFrom(*stored.inherited);
    return merged;
}

RanState RecordTable::localRanState(const RequestKey& key) const
{
    if (const std::shared_ptr<RequestRecord> record = find(key))
        return record->ranState();
    const auto stored = m_copies.find(key);
    if (stored == m_copies.end())
        return RanState::NotRun;
    const RecordCopy known = mergeCopies(stored->second);
    if (!known.results.empty())
        return RanState::RanInPart;
    return known.maybeSent ? RanState::Unknown : RanState::NotRun;
}

Refusal RecordTable::limitToKnownRecords(Refusal refusal, const IncomingRequest& incoming,
    const std::vector<CopyResponse>& responses, TimePoint now) const
{
    if (refusal.ran == RanState::NotRun)
        refusal.ran = localRanState(incoming.key);
    if (refusal.ran != RanState::NotRun || !incoming.keyFromCaller)
        return refusal;
    if (!hasAllRecords(incoming.key, responses, now))
        refusal.ran = RanState::Unknown;
    return refusal;
}

void RecordTable::evict(TimePoint now)
{
    removeUnusedSince(now - m_options.retention);
    m_bytes = sizeBytes();
    Duration reducedRetention = m_options.retention;
    while (isFull() && reducedRetention > Milliseconds(1)) {
        reducedRetention /= 2;
        if (removeUnusedSince(now - reducedRetention) > 0)
            m_coverage.recordLoss(now);
        m_bytes = sizeBytes();
    }
}

std::size_t RecordTable::removeUnusedSince(TimePoint lastUse)
{
    const std::size_t records = std::erase_if(m_records, [&](const auto& entry) {
        const RequestRecord& record = *entry.second;
        return !record.isRunning() && record.callerCount() == 0 && record.lastUsed() <= lastUse;
    });
    const std::size_t copies = std::erase_if(
        m_copies, [&](const auto& entry) { return entry.second.storedAt <= lastUse; });
    return records + copies;
}

bool RecordTable::isFull() const
{
    return m_records.size() + m_copies.size() >= m_options.maxRecords
        || m_bytes >= m_options.maxBytes;
}

std::size_t RecordTable::sizeBytes() const
{
    std::size_t size = 0;
    for (const auto& [key, record] : m_records)
        size += record->copy().sizeBytes();
    for (const auto& [key, stored] : m_copies)
        size += stored.copy.sizeBytes();
    return size;
}

}
