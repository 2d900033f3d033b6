#include "libserving/poolversions.h"

#include <algorithm>

namespace Apricot {

PoolVersions::PoolVersions(PoolVersionsOptions options)
    : m_options(options)
{
}

void PoolVersions::onServerAdded(const PoolId& pool, const SoftwareVersion& version)
{
    ++m_pools[pool][version].servers;
}

void PoolVersions::onServerRemoved(const PoolId& pool, const SoftwareVersion& version, TimePoint now)
{
    auto& versions = m_pools[pool];
    VersionUse& use = versions[version];
    use.servers = std::max(use.servers - 1, 0);
    use.lastSeenAt = now;
    std::erase_if(versions, [this, now](const auto& entry) {
        return entry.second.servers == 0 && entry.second.lastSeenAt + m_options.retention < now;
    });
}

void PoolVersions::confirm(TimePoint confirmedAt)
{
    if (!m_confirmedAt || confirmedAt > *m_confirmedAt + m_options.maxGap)
        m_continuousSince = confirmedAt;
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

SeenVersions PoolVersions::seenWithin(const PoolId& pool, Milliseconds time, TimePoint now) const
{
    SeenVersions seen { .isComplete = m_confirmedAt && now <= *m_confirmedAt + m_options.maxAge
            && m_continuousSince + time <= now && time <= m_options.retention };
    const auto found = m_pools.find(pool);
    if (found == m_pools.end())
        return seen;
    for (const auto& [version, use] : found->second) {
        if (use.servers > 0 || now <= use.lastSeenAt + time)
            seen.versions.insert(version);
    }
    return seen;
}

}
