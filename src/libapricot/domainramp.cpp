#include "libapricot/domainramp.h"

#include <algorithm>

namespace Apricot {

void DomainRamp::update(const Catalogue& catalogue, TimePoint now)
{
    if (catalogue.version == m_version && !m_histories.empty())
        return;
    m_version = catalogue.version;
    std::erase_if(m_histories,
        [&catalogue](const auto& history) { return !catalogue.servers.contains(history.first); });
    for (const auto& [id, server] : catalogue.servers) {
        ServiceHistory& history = m_histories[id];
        const bool inService = catalogue.isInService(server);
        if (inService && !history.inService)
            history.returnedAt = now;
        history.inService = inService;
    }
}

double DomainRamp::currentCap(const BackendServer& server, TimePoint now) const
{
    const auto found = m_histories.find(server.id);
    if (found == m_histories.end() || !found->second.returnedAt)
        return server.warmCap;
    const double progress = std::chrono::duration<double>(now - *found->second.returnedAt)
        / std::chrono::duration<double>(rampTime);
    const double rampedCap = server.coldCap
        + (server.warmCap - server.coldCap) * std::clamp(progress, 0.0, 1.0);
    return std::max(1.0, rampedCap);
}

}
