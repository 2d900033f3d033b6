#include "libapricot/claimbatch.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    // The platform holds values up to a megabyte; the rest is for the encoding of the entries.
    constexpr std::size_t objectLimitBytes = 800'000;
    constexpr Milliseconds fullRetryAfter { 60'000 };

}

void ClaimBatch::add(const std::string& claimKey, const std::string& token)
{
    const Claim claim { .claimKey = claimKey, .token = token };
    if (std::find(m_waiting.begin(), m_waiting.end(), claim) == m_waiting.end())
        m_waiting.push_back(claim);
}

std::optional<ClaimStep> ClaimBatch::next()
{
    if (m_isCalling || m_waiting.empty())
        return std::nullopt;
    if (!m_known) {
        m_isCalling = true;
        return ReadClaims {};
    }
    learn(*m_known);
    if (sizeBytes() >= objectLimitBytes)
        onUnavailable(fullRetryAfter);
    if (m_waiting.empty())
        return std::nullopt;
    WriteClaims put { .object = *m_known };
    // Of two tokens that wait for one key the first gets it; the other learns so afterwards.
    for (const Claim& claim : m_waiting)
        put.object.entries.emplace(claim.claimKey, claim.token);
    m_written = put.object.entries;
    m_isCalling = true;
    return put;
}

void ClaimBatch::onRead(const ClaimObject& object)
{
    m_isCalling = false;
    learn(object);
}

void ClaimBatch::onWriteAccepted(ObjectVersion version)
{
    m_isCalling = false;
    learn(ClaimObject { .version = version, .entries = std::move(m_written) });
}

void ClaimBatch::onWriteConflict(const ClaimObject& standing)
{
    m_isCalling = false;
    learn(standing);
}

void ClaimBatch::onWriteOutcomeUnknown()
{
    m_isCalling = false;
    m_known.reset();
}

void ClaimBatch::onUnavailable(Milliseconds retryAfter)
{
    m_isCalling = false;
    m_known.reset();
    for (const Claim& claim : std::exchange(m_waiting, {}))
        settle(claim, { .result = ClaimResult::Unavailable, .retryAfter = retryAfter });
}

// Settles the claims that an object shows; the others go on waiting.
void ClaimBatch::learn(const ClaimObject& object)
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
    if (!m_known || object.version >= m_known->version)
        m_known = object;
}

void ClaimBatch::settle(const Claim& claim, ClaimResponse answer)
{
    m_settled.push_back({ .claimKey = claim.claimKey, .token = claim.token, .answer = answer });
}

std::vector<SettledClaim> ClaimBatch::drainSettled()
{
    return std::exchange(m_settled, {});
}

std::size_t ClaimBatch::sizeBytes() const
{
    std::size_t size = 0;
    for (const auto& [key, token] : m_known->entries)
        size += key.size() + token.size();
    return size;
}

}
