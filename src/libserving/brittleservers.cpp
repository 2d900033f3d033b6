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
    auto entry = m_servers.find(server.id);
    if (entry != m_servers.end() && entry->second.startedAt != server.startedAt) {
        if (server.startedAt < entry->second.startedAt)
            return false;
        m_servers.erase(entry);
        entry = m_servers.end();
    }
    if (limit)
        m_pools[server.pool] = { *limit, now };
    if (entry == m_servers.end()) {
        if (!limit)
            return false;
        m_servers[server.id] = { server.startedAt, limit, sentAt };
        return true;
    }
    if (sentAt < entry->second.sentAt)
        return false;
    entry->second.sentAt = sentAt;
    if (std::exchange(entry->second.limit, limit) == limit)
        return false;
    if (!limit)
        m_pools.erase(server.pool);
    return true;
}

void BrittleServers::recordRefusal(const ServerEntry& server, std::size_t hosts, TimePoint now)
{
    const std::optional<double> limit = limitOf(server, now);
    if (!limit)
        return;
    const double jitter = std::uniform_real_distribution<double>(1 - pauseJitter, 1 + pauseJitter)(m_random);
    const double seconds = limitMargin * static_cast<double>(std::max<std::size_t>(hosts, 1)) / std::max(*limit, 1.0);
    const Milliseconds pause = std::clamp(
        ceilMilliseconds(seconds * jitter * millisecondsPerSecond), m_options.minPause, m_options.maxPause);
    Entry& entry = m_servers[server.id];
    if (entry.startedAt != server.startedAt)
        entry = { .startedAt = server.startedAt, .limit = limit, .sentAt = now };
    entry.pausedUntil = std::max<TimePoint>(entry.pausedUntil, now + pause);
}

bool BrittleServers::hasRoom(
    const ServerEntry& server, int inFlight, std::size_t hosts, TimePoint now) const
{
    if (!limitOf(server, now))
        return true;
    const int share = server.slots / static_cast<int>(std::max<std::size_t>(hosts, 1));
    return inFlight < std::max(share, 1) && pausedUntil({ server.id, server.startedAt }) <= now;
}

TimePoint BrittleServers::pausedUntil(const ServerStart& server) const
{
    const Entry* entry = find(server);
    return entry && entry->limit ? entry->pausedUntil : TimePoint {};
}

std::size_t BrittleServers::size() const
{
    return static_cast<std::size_t>(std::count_if(
        m_servers.begin(), m_servers.end(), [](const auto& entry) { return entry.second.limit.has_value(); }));
}

const BrittleServers::Entry* BrittleServers::find(const ServerStart& server) const
{
    const auto entry = m_servers.find(server.server);
    return entry == m_servers.end() || entry->second.startedAt != server.startedAt ? nullptr : &entry->second;
}

std::optional<double> BrittleServers::limitOf(const ServerEntry& server, TimePoint now) const
{
    if (const Entry* entry = find({ server.id, server.startedAt }))
        return entry->limit;
    const auto pool = m_pools.find(server.pool);
    if (pool == m_pools.end() || pool->second.recordedAt + m_options.poolStatementLifetime < now)
        return std::nullopt;
    return pool->second.limit;
}

void BrittleServers::retain(const std::set<BackendServerId>& listed)
{
    std::erase_if(m_servers, [&listed](const auto& entry) { return !listed.contains(entry.first); });
}

}
