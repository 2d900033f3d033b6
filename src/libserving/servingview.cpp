#include "libserving/servingview.h"

#include <algorithm>

namespace Apricot {

namespace {

    bool haveSameRouting(const ServingConfig& left, const ServingConfig& right)
    {
        return std::equal(left.routes.begin(), left.routes.end(), right.routes.begin(), right.routes.end(),
            [](const Route& leftRoute, const Route& rightRoute) {
                return leftRoute.host == rightRoute.host && leftRoute.pathPrefix == rightRoute.pathPrefix
                    && leftRoute.pools == rightRoute.pools;
            });
    }

}

bool ServingView::applyConfig(ServingConfig config, std::uint64_t revision)
{
    // A store that comes back from an older copy may hold an older version until its operator writes again.
    if (m_config && (revision <= m_configRevision || config.version < m_config->version))
        return false;
    if (!m_config || !haveSameRouting(*m_config, config))
        m_routingChangedAt = RuntimeClock::now();
    m_config = std::make_shared<const ServingConfig>(std::move(config));
    m_configRevision = revision;
    return true;
}

void ServingView::confirmConfig(TimePoint confirmedAt, TimePoint overdueAt)
{
    m_configConfirmedAt = confirmedAt;
    m_configOverdueAt = overdueAt;
}

Milliseconds ServingView::markServerRestarted(const Endpoint& endpoint, TimePoint now)
{
    const KnownServer* known = m_servers.findByAddress(endpoint);
    const Pool* pool = known && m_config ? m_config->findPool(known->server.pool) : nullptr;
    if (!pool)
        return Milliseconds(0);
    m_servers.markCold(known->server.id, now + pool->coldTime);
    return pool->coldTime;
}

void ServingView::setOutOfServiceDomains(std::set<FailureDomainId> domains, TimePoint now)
{
    const auto coldTimeOf = [this](const PoolId& id) {
        const Pool* pool = m_config ? m_config->findPool(id) : nullptr;
        return pool ? pool->coldTime : Milliseconds(0);
    };
    m_servers.setOutOfServiceDomains(std::move(domains), coldTimeOf, now);
}

void ServingView::putHost(const HostId& id, const PeerHost& host)
{
    const auto [entry, isNew] = m_hosts.try_emplace(id, host);
    if (!isNew && entry->second == host)
        return;
    entry->second = host;
    ++m_hostsGeneration;
}

void ServingView::removeHost(const HostId& id)
{
    if (m_hosts.erase(id) > 0)
        ++m_hostsGeneration;
}

void ServingView::replaceHosts(std::map<HostId, PeerHost> hosts)
{
    if (hosts == m_hosts)
        return;
    m_hosts = std::move(hosts);
    ++m_hostsGeneration;
}

std::vector<HostId> ServingView::hostIds() const
{
    std::vector<HostId> ids;
    ids.reserve(m_hosts.size());
    for (const auto& [id, host] : m_hosts)
        ids.push_back(id);
    return ids;
}

}
