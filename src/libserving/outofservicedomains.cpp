#include "libserving/outofservicedomains.h"

namespace Apricot {

void OutOfServiceDomains::replaceAll(std::set<FailureDomainId> listed, TimePoint now)
{
    if (isSettling(now))
        m_retained.merge(m_listed);
    else
        m_retained.clear();
    m_listed = std::move(listed);
}

void OutOfServiceDomains::put(const FailureDomainId& domain)
{
    m_listed.insert(domain);
}

void OutOfServiceDomains::remove(const FailureDomainId& domain)
{
    m_listed.erase(domain);
    m_retained.erase(domain);
}

std::set<FailureDomainId> OutOfServiceDomains::current(TimePoint now) const
{
    std::set<FailureDomainId> domains = m_listed;
    if (isSettling(now))
        domains.insert(m_retained.begin(), m_retained.end());
    return domains;
}

bool OutOfServiceDomains::isSettling(TimePoint now) const
{
    return m_restoredAt && now < *m_restoredAt + m_settleTime;
}

}
