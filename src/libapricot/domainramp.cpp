#include "libapricot/domainramp.h"

#include <algorithm>

namespace Apricot {

void DomainRamp::observe(const Catalogue& catalogue, TimePoint now)
{
    if (catalogue.version == m_version && !m_records.empty())
        return;
    m_version = catalogue.version;
    std::erase_if(m_records,
        [&catalogue](const auto& record) { return !catalogue.servers.contains(record.first); });
    for (const auto& [id, server] : catalogue.servers) {
        ServiceRecord& record = m_records[id];
        const bool inService = catalogue.isInService(server);
        if (inService && !record.inService)
            record.returnedAt = now;
        record.inService = inService;
    }
}

double DomainRamp::capOf(const BackendServer& server, TimePoint now) const
{
    const auto found = m_records.find(server.id);
    if (found == m_records.end() || !found->second.returnedAt)
        return server.warmCap;
    const double progress = std::chrono::duration<double>(now - *found->second.returnedAt)
        / std::chrono::duration<double>(rampTime);
    const double risen = server.coldCap
        + (server.warmCap - server.coldCap) * std::clamp(progress, 0.0, 1.0);
    return std::max(1.0, risen);
}

}
