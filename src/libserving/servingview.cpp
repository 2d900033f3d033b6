#include "libserving/servingview.h"

namespace Apricot {

bool ServingView::applyConfig(ServingConfig config, std::uint64_t revision)
{
    if (m_config && revision <= m_configRevision)
        return false;
    m_config = std::make_shared<const ServingConfig>(std::move(config));
    m_configRevision = revision;
    return true;
}

void ServingView::setOutOfServiceDomains(std::set<FailureDomainId> domains, TimePoint now)
{
    const auto coldTimeOf = [this](const PoolId& id) {
        const Pool* pool = m_config ? m_config->findPool(id) : nullptr;
        return pool ? pool->coldTime : Milliseconds(0);
    };
    m_servers.setOutOfServiceDomains(std::move(domains), coldTimeOf, now);
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
