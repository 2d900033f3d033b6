#include "libserving/resultcapacity.h"

#include <algorithm>
#include <vector>

namespace Apricot {

namespace {

    // Initial estimate of how long a result is held, in calls: the call that makes it and the call that
    // reads it.
    constexpr double initialHoldCalls = 2;

}

ResultCapacity::ResultCapacity(const StageTraits& traits, ResultCapacityOptions options)
    : m_options(options)
    , m_meanHoldMilliseconds(initialHoldCalls
          * (static_cast<double>(traits.callTime.count())
              + traits.pieceMilliseconds * traits.batchLimit))
{
    setTraits(traits);
}

void ResultCapacity::setTraits(const StageTraits& traits)
{
    m_capacityBytes = traits.resultCapacityBytes;
    m_resultLifetime = traits.resultLifetime;
}

void ResultCapacity::reserve(const BackendServerId& server, double bytes)
{
    m_usedBytes[server] += bytes;
}

void ResultCapacity::cancelReservation(const BackendServerId& server, double bytes)
{
    const auto entry = m_usedBytes.find(server);
    if (entry == m_usedBytes.end())
        return;
    entry->second -= bytes;
    // Rounding errors of the sum can leave a fraction of a byte.
    if (entry->second < 1)
        m_usedBytes.erase(entry);
}

void ResultCapacity::addResult(
    const std::string& handle, const BackendServerId& server, double bytes, TimePoint startedAt,
    TimePoint now)
{
    m_results[handle] = { server, bytes, startedAt, now + m_resultLifetime };
}

void ResultCapacity::release(const std::string& handle, TimePoint now)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return;
    cancelReservation(found->second.server, found->second.bytes);
    const double heldMilliseconds = inMilliseconds(now - found->second.startedAt);
    m_meanHoldMilliseconds += m_options.holdTimeWeight * (heldMilliseconds - m_meanHoldMilliseconds);
    m_results.erase(found);
}

void ResultCapacity::expire(TimePoint now)
{
    std::vector<std::string> expired;
    for (const auto& [handle, result] : m_results) {
        if (result.expiresAt <= now)
            expired.push_back(handle);
    }
    for (const std::string& handle : expired)
        release(handle, now);
}

void ResultCapacity::onCallEnded(const BackendServerId& server, bool wasFull, TimePoint now)
{
    if (!wasFull) {
        m_sizeFactor = std::max(m_sizeFactor * m_options.sizeFactorDecay, 1.0);
        return;
    }
    m_sizeFactor = std::min(m_sizeFactor * m_options.sizeFactorGrowth, m_options.maxSizeFactor);
    m_foreignUsage[server] = { std::max(m_capacityBytes - usedBytes(server), 0.0), now };
}

double ResultCapacity::freeBytes(const BackendServerId& server, TimePoint now) const
{
    return m_options.plannableShare * m_capacityBytes / m_sizeFactor - usedBytes(server)
        - foreignBytes(server, now);
}

double ResultCapacity::usedBytes(const BackendServerId& server) const
{
    const auto found = m_usedBytes.find(server);
    return found == m_usedBytes.end() ? 0 : found->second;
}

// Falls linearly to zero over the mean time that results are held.
double ResultCapacity::foreignBytes(const BackendServerId& server, TimePoint now) const
{
    const auto found = m_foreignUsage.find(server);
    if (found == m_foreignUsage.end() || m_meanHoldMilliseconds <= 0)
        return 0;
    const double age = inMilliseconds(now - found->second.observedAt);
    return found->second.bytes * std::max(1 - age / m_meanHoldMilliseconds, 0.0);
}

Milliseconds ResultCapacity::timeUntilFree(double bytes, std::size_t serverCount) const
{
    const double capacity = m_capacityBytes * static_cast<double>(std::max<std::size_t>(serverCount, 1));
    if (bytes <= 0 || capacity <= 0)
        return Milliseconds(0);
    return ceilMilliseconds(bytes / capacity * m_meanHoldMilliseconds);
}

std::optional<BackendServerId> ResultCapacity::serverOf(const std::string& handle) const
{
    const auto found = m_results.find(handle);
    return found == m_results.end() ? std::nullopt : std::optional(found->second.server);
}

}
