#include "libapricot/claimbatch.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    // The platform accepts values of up to 1 MB; the rest is reserved for the encoding of the entries.
    constexpr std::size_t objectLimitBytes = 800'000;
    constexpr Milliseconds objectFullRetryAfter { 60'000 };

}

void ClaimBatch::add(const std::string& claimKey, const std::string& token)
{
    const Claim claim { .claimKey = claimKey, .token = token };
    if (std::find(m_waiting.begin(), m_waiting.end(), claim) == m_waiting.end())
        m_waiting.push_back(claim);
}

std::optional<ClaimStep> ClaimBatch::next()
{
    if (m_isCallOpen || m_waiting.empty())
        return std::nullopt;
    if (!m_lastObject) {
        m_isCallOpen = true;
        return ReadClaims {};
    }
    apply(*m_lastObject);
    if (sizeBytes() >= objectLimitBytes)
        onUnavailable(objectFullRetryAfter);
    if (m_waiting.empty())
        return std::nullopt;
    WriteClaims write { .object = *m_lastObject };
    // If two tokens wait for the same key, the first one is written; the other one is settled as held
    // by another after the write.
    for (const Claim& claim : m_waiting)
        write.object.entries.emplace(claim.claimKey, claim.token);
    m_writtenEntries = write.object.entries;
    m_isCallOpen = true;
    return write;
}

void ClaimBatch::onRead(const ClaimObject& object)
{
    m_isCallOpen = false;
    apply(object);
}

void ClaimBatch::onWriteAccepted(ObjectVersion version)
{
    m_isCallOpen = false;
    apply(ClaimObject { .version = version, .entries = std::move(m_writtenEntries) });
}

void ClaimBatch::onWriteConflict(const ClaimObject& current)
{
    m_isCallOpen = false;
    apply(current);
}

void ClaimBatch::onWriteOutcomeUnknown()
{
    m_isCallOpen = false;
    m_lastObject.reset();
}

void ClaimBatch::onUnavailable(Milliseconds retryAfter)
{
    m_isCallOpen = false;
    m_lastObject.reset();
    for (const Claim& claim : std::exchange(m_waiting, {}))
        settle(claim, { .result = ClaimResult::Unavailable, .retryAfter = retryAfter });
}

// Settles the waiting claims whose keys the object contains.
void ClaimBatch::apply(const ClaimObject& object)
{
    std::vector<Claim> unsettled;
    for (const Claim& claim : std::exchange(m_waiting, {})) {
        const auto entry = object.entries.find(claim.claimKey);
        if (entry == object.entries.end()) {
            unsettled.push_back(claim);
            continue;
        }
        const bool isOwn = entry->second == claim.token;
        settle(claim, { .result = isOwn ? ClaimResult::Granted : ClaimResult::HeldByOther });
    }
    m_waiting = std::move(unsettled);
    if (!m_lastObject || object.version >= m_lastObject->version)
        m_lastObject = object;
}

void ClaimBatch::settle(const Claim& claim, ClaimResponse response)
{
    m_settled.push_back({ .claimKey = claim.claimKey, .token = claim.token, .response = response });
}

std::vector<SettledClaim> ClaimBatch::drainSettled()
{
    return std::exchange(m_settled, {});
}

std::size_t ClaimBatch::sizeBytes() const
{
    std::size_t size = 0;
    for (const auto& [key, token] : m_lastObject->entries)
        size += key.size() + token.size();
    return size;
}

}
