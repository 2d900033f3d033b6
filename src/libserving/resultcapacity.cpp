#include "libserving/resultcapacity.h"

#include <algorithm>
#include <vector>

namespace Apricot {

namespace {

    // Calls that a result is held for until there is experience: its own, and that of its reader.
    constexpr double firstHoldCalls = 2;

}

ResultCapacity::ResultCapacity(const StageTraits& traits, ResultCapacityOptions options)
    : m_options(options)
    , m_holdMilliseconds(firstHoldCalls
          * (static_cast<double>(traits.callTime.count())
              + traits.pieceMilliseconds * traits.batchLimit))
{
    setTraits(traits);
}

void ResultCapacity::setTraits(const StageTraits& traits)
{
    m_roomBytes = traits.resultCapacityBytes;
    m_lifetime = traits.resultLifetime;
}

void ResultCapacity::reserve(const BackendServerId& server, double bytes)
{
    m_used[server] += bytes;
}

void ResultCapacity::giveBack(const BackendServerId& server, double bytes)
{
    const auto used = m_used.find(server);
    if (used == m_used.end())
        return;
    used->second -= bytes;
    // Sums of sizes may leave a rest.
    if (used->second < 1)
        m_used.erase(used);
}

void ResultCapacity::keep(
    const std::string& handle, const BackendServerId& server, double bytes, TimePoint begunAt,
    TimePoint now)
{
    m_results[handle] = { server, bytes, begunAt, now + m_lifetime };
}

void ResultCapacity::release(const std::string& handle, TimePoint now)
{
    const auto found = m_results.find(handle);
    if (found == m_results.end())
        return;
    giveBack(found->second.server, found->second.bytes);
    const double held = inMilliseconds(now - found->second.begunAt);
    m_holdMilliseconds += m_options.holdWeight * (held - m_holdMilliseconds);
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

void ResultCapacity::callEnded(const BackendServerId& server, bool hasFoundNoRoom, TimePoint now)
{
    if (!hasFoundNoRoom) {
        m_factor = std::max(m_factor * m_options.factorFall, 1.0);
        return;
    }
    m_factor = std::min(m_factor * m_options.factorRise, m_options.largestFactor);
    m_others[server] = { std::max(m_roomBytes - used(server), 0.0), now };
}

double ResultCapacity::free(const BackendServerId& server, TimePoint now) const
{
    return m_options.plannedPart * m_roomBytes / m_factor - used(server)
        - usedByOthers(server, now);
}

double ResultCapacity::used(const BackendServerId& server) const
{
    const auto found = m_used.find(server);
    return found == m_used.end() ? 0 : found->second;
}

// Falls evenly over the time that results are held.
double ResultCapacity::usedByOthers(const BackendServerId& server, TimePoint now) const
{
    const auto found = m_others.find(server);
    if (found == m_others.end() || m_holdMilliseconds <= 0)
        return 0;
    const double age = inMilliseconds(now - found->second.seenAt);
    return found->second.bytes * std::max(1 - age / m_holdMilliseconds, 0.0);
}

Milliseconds ResultCapacity::timeToFree(double bytes, std::size_t servers) const
{
    const double room = m_roomBytes * static_cast<double>(std::max<std::size_t>(servers, 1));
    if (bytes <= 0 || room <= 0)
        return Milliseconds(0);
    return ceilMilliseconds(bytes / room * m_holdMilliseconds);
}

std::optional<BackendServerId> ResultCapacity::serverOf(const std::string& handle) const
{
    const auto found = m_results.find(handle);
    return found == m_results.end() ? std::nullopt : std::optional(found->second.server);
}

}
