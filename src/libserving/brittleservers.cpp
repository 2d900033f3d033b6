#include "libserving/brittleservers.h"

#include <algorithm>

namespace Apricot {

namespace {

    // All hosts together cause at most the limit divided by this in refusals.
    constexpr double limitMargin = 2;
    constexpr double millisecondsPerSecond = 1000;
    constexpr double pauseJitter = 0.25;

}

BrittleServers::BrittleServers(BrittleServersOptions options)
    : m_options(options)
{
}

bool BrittleServers::record(
    const ServerEntry& server, std::optional<double> limit, TimePoint sentAt, TimePoint now)
{
    const ServerStart start = startOf(server);
    if (!limit && !m_servers.find(start)) {
        m_servers.removeEarlier(start);
        return false;
    }
    Entry* entry = m_servers.findOrAdd(start);
    if (!entry)
        return false;
    if (limit)
        m_pools[server.pool] = { *limit, now };
    if (sentAt < entry->sentAt)
        return false;
    entry->sentAt = sentAt;
    if (std::exchange(entry->limit, limit) == limit)
        return false;
    if (!limit)
        m_pools.erase(server.pool);
    return true;
}

void BrittleServers::recordRefusal(const ServerEntry& server, std::size_t hosts, TimePoint now)
{
    const std::optional<double> limit = limitOf(server, now);
    Entry* entry = limit ? m_servers.findOrAdd(startOf(server)) : nullptr;
    if (!entry)
        return;
    const double jitter = std::uniform_real_distribution<double>(1 - pauseJitter, 1 + pauseJitter)(m_random);
    const double seconds = limitMargin * static_cast<double>(std::max<std::size_t>(hosts, 1)) / std::max(*limit, 1.0);
    const Milliseconds pause = std::clamp(
        ceilMilliseconds(seconds * jitter * millisecondsPerSecond), m_options.minPause, m_options.maxPause);
    if (!entry->limit)
        *entry = { .limit = limit, .sentAt = now };
    entry->pausedUntil = std::max<TimePoint>(entry->pausedUntil, now + pause);
}

bool BrittleServers::hasRoom(
    const ServerEntry& server, int inFlight, std::size_t hosts, TimePoint now) const
{
    if (!limitOf(server, now))
        return true;
    const int share = server.slots / static_cast<int>(std::max<std::size_t>(hosts, 1));
    return inFlight < std::max(share, 1) && pausedUntil(startOf(server)) <= now;
}

TimePoint BrittleServers::pausedUntil(const ServerStart& server) const
{
    const Entry* entry = m_servers.find(server);
    return entry && entry->limit ? entry->pausedUntil : TimePoint {};
}

std::size_t BrittleServers::size() const
{
    return m_servers.count([](const Entry& entry) { return entry.limit.has_value(); });
}

std::optional<double> BrittleServers::limitOf(const ServerEntry& server, TimePoint now) const
{
    if (const Entry* entry = m_servers.find(startOf(server)))
        return entry->limit;
    const auto pool = m_pools.find(server.pool);
    if (pool == m_pools.end() || pool->second.recordedAt + m_options.poolStatementLifetime < now)
        return std::nullopt;
    return pool->second.limit;
}

}
