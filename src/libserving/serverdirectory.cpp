#include "libserving/serverdirectory.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    // Longer than the age of a copy from which the store may come back.
    constexpr Milliseconds removalMemory { 60'000 };

}

ServerDirectory::ServerDirectory(ServerDirectoryOptions options)
    : m_options(options)
{
}

std::vector<BackendServerId> ServerDirectory::replaceAll(const std::vector<ServerEntry>& servers, TimePoint now)
{
    std::set<BackendServerId> listed;
    std::vector<BackendServerId> outdated;
    m_withheld.clear();
    for (const ServerEntry& server : servers) {
        listed.insert(server.id);
        if (!put(server, now))
            outdated.push_back(server.id);
    }
    std::vector<BackendServerId> unlisted;
    for (const auto& [id, known] : m_servers) {
        if (!listed.contains(id))
            unlisted.push_back(id);
    }
    for (const BackendServerId& id : unlisted)
        remove(id, now);
    return outdated;
}

bool ServerDirectory::put(const ServerEntry& server, TimePoint now)
{
    m_withheld.erase(server.id);
    if (!isOutdated(server, now)) {
        apply(server, now);
        return true;
    }
    const auto known = m_servers.find(server.id);
    if (known != m_servers.end())
        known->second.isMissing = false;
    if (isSettling(now))
        m_withheld.emplace(server.id, server);
    return false;
}

bool ServerDirectory::isOutdated(const ServerEntry& server, TimePoint now) const
{
    if (server.isDraining)
        return false;
    const auto known = m_servers.find(server.id);
    if (known != m_servers.end()) {
        const ServerEntry& newest = known->second.server;
        if (newest.startedAt == server.startedAt)
            return server.sequence < newest.sequence && (newest.isDraining || isSettling(now));
        return server.startedAt < newest.startedAt && isSettling(now);
    }
    const auto removed = m_removed.find(server.id);
    return removed != m_removed.end() && isSettling(now)
        && std::pair(server.startedAt, server.sequence)
        <= std::pair(removed->second.startedAt, removed->second.sequence);
}

void ServerDirectory::apply(const ServerEntry& server, TimePoint now)
{
    m_removed.erase(server.id);
    ++m_generation;
    m_versions.onServerAdded(server.pool, server.softwareVersion);
    KnownServer& known = m_servers[server.id];
    if (!known.server.id.empty())
        m_versions.onServerRemoved(known.server.pool, known.server.softwareVersion, now);
    const bool isNewStart = known.server.id.empty() || known.server.startedAt != server.startedAt
        || known.server.endpoint != server.endpoint
        || known.server.softwareVersion != server.softwareVersion;
    if (!known.server.id.empty() && known.server.endpoint != server.endpoint)
        ++m_removals;
    if (isNewStart)
        known = { .firstSeenAt = now };
    known.server = server;
    known.server.isDraining = server.isDraining || known.isLeaving;
    known.isMissing = false;
    if (server.coldTimeLeft.count() > 0)
        known.coldUntil = std::max(known.coldUntil, now + server.coldTimeLeft);
}

void ServerDirectory::remove(const BackendServerId& id, TimePoint now)
{
    m_withheld.erase(id);
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    ++m_generation;
    if (isRetainingMissing(now) && !found->second.server.isDraining)
        found->second.isMissing = true;
    else
        erase(found, now);
}

void ServerDirectory::onStoreLost(TimePoint now)
{
    m_isStoreLost = true;
    m_storeLostAt = now;
}

void ServerDirectory::onStoreRegained(TimePoint now)
{
    if (isStoreAway(now))
        m_storeRegainedAt = now;
    m_isStoreLost = false;
}

void ServerDirectory::onStoreRestored(TimePoint now)
{
    m_restoredAt = now;
    m_storeRegainedAt = now;
}

bool ServerDirectory::isSettling(TimePoint now) const
{
    return m_restoredAt && now < *m_restoredAt + m_options.settleTime;
}

void ServerDirectory::settle(TimePoint now)
{
    if (m_withheld.empty() || isSettling(now))
        return;
    for (const auto& [id, server] : std::exchange(m_withheld, {}))
        put(server, now);
}

void ServerDirectory::recordPeerEvidence(TimePoint respondedAt, TimePoint now)
{
    const bool wasAway = isStoreAway(now);
    m_peerEvidenceAt = std::max(m_peerEvidenceAt, respondedAt);
    if (wasAway && !isStoreAway(now))
        m_storeRegainedAt = now;
}

bool ServerDirectory::isStoreAway(TimePoint now) const
{
    return m_isStoreLost
        && (m_peerEvidenceAt <= m_storeLostAt || m_peerEvidenceAt + m_options.maxPeerEvidenceGap < now);
}

void ServerDirectory::setOutOfServiceDomains(std::set<FailureDomainId> domains,
    const std::function<Milliseconds(const PoolId&)>& coldTimeOf, TimePoint now)
{
    ++m_generation;
    for (auto& [id, known] : m_servers) {
        const FailureDomainId& domain = known.server.domain;
        const Milliseconds coldTime = coldTimeOf(known.server.pool);
        const bool isBackInService = m_outOfServiceDomains.contains(domain) && !domains.contains(domain);
        if (isBackInService && coldTime.count() > 0)
            known.coldUntil = now + coldTime + m_options.coldMargin;
    }
    m_outOfServiceDomains = std::move(domains);
}

bool ServerDirectory::setExcludedServers(std::set<BackendServerId> servers)
{
    if (servers == m_excluded)
        return false;
    ++m_generation;
    m_excluded = std::move(servers);
    return true;
}

std::vector<const KnownServer*> ServerDirectory::usable(const PoolId& pool, TimePoint now)
{
    expireMissing(now);
    std::vector<const KnownServer*> servers;
    for (const auto& [id, known] : m_servers) {
        if (known.server.pool == pool && isUsable(known))
            servers.push_back(&known);
    }
    return servers;
}

std::vector<const KnownServer*> ServerDirectory::notDraining(const PoolId& pool) const
{
    std::vector<const KnownServer*> servers;
    for (const auto& [id, known] : m_servers) {
        if (known.server.pool == pool && !known.server.isDraining && !m_excluded.contains(id))
            servers.push_back(&known);
    }
    return servers;
}

const KnownServer* ServerDirectory::findUsable(const BackendServerId& id, TimePoint now)
{
    expireMissing(now);
    const auto found = m_servers.find(id);
    return found == m_servers.end() || !isUsable(found->second) ? nullptr : &found->second;
}

bool ServerDirectory::isUsable(const KnownServer& known) const
{
    return !known.server.isDraining && !m_outOfServiceDomains.contains(known.server.domain)
        && !m_excluded.contains(known.server.id);
}

bool ServerDirectory::isRetainingMissing(TimePoint now) const
{
    return isStoreAway(now) || (m_storeRegainedAt && now < *m_storeRegainedAt + m_options.missingGraceTime);
}

void ServerDirectory::expireMissing(TimePoint now)
{
    settle(now);
    if (isRetainingMissing(now))
        return;
    for (auto entry = m_servers.begin(); entry != m_servers.end();) {
        if (!entry->second.isMissing) {
            ++entry;
            continue;
        }
        ++m_generation;
        entry = erase(entry, now);
    }
}

std::map<BackendServerId, KnownServer>::iterator ServerDirectory::erase(
    std::map<BackendServerId, KnownServer>::iterator entry, TimePoint now)
{
    ++m_removals;
    const ServerEntry& server = entry->second.server;
    m_versions.onServerRemoved(server.pool, server.softwareVersion, now);
    std::erase_if(m_removed,
        [now](const auto& removed) { return removed.second.removedAt + removalMemory < now; });
    m_removed[server.id] = { server.startedAt, server.sequence, now };
    return m_servers.erase(entry);
}

const KnownServer* ServerDirectory::findByAddress(const Endpoint& endpoint) const
{
    const auto found = std::find_if(m_servers.begin(), m_servers.end(),
        [&endpoint](const auto& entry) { return entry.second.server.endpoint == endpoint; });
    return found == m_servers.end() ? nullptr : &found->second;
}

void ServerDirectory::markCold(const BackendServerId& id, TimePoint until)
{
    const auto known = m_servers.find(id);
    if (known != m_servers.end())
        known->second.coldUntil = std::max(known->second.coldUntil, until);
}

bool ServerDirectory::recordLeaving(const ServerStart& server)
{
    const auto known = m_servers.find(server.server);
    if (known == m_servers.end() || known->second.server.startedAt != server.startedAt || known->second.isLeaving)
        return false;
    ++m_generation;
    known->second.isLeaving = true;
    known->second.server.isDraining = true;
    return true;
}

}
