#include "libapricot/catalogue.h"

#include <algorithm>

namespace Apricot {

namespace {

    template <typename Id>
    bool hasStateOut(const std::map<Id, ServiceState>& states, const Id& id)
    {
        const auto found = states.find(id);
        return found != states.end() && found->second == ServiceState::Out;
    }

}

bool CatalogueEntry::needsClaim() const
{
    return std::any_of(stages.begin(), stages.end(),
        [](const StageSpec& stage) { return !stage.idempotent; });
}

bool Catalogue::isOutOfService(const FailureDomainId& domain) const
{
    return hasStateOut(domains, domain);
}

bool Catalogue::isOutOfService(const HostId& host) const
{
    return hasStateOut(hosts, host);
}

bool Catalogue::isInService(const BackendServer& server) const
{
    return !isOutOfService(server.failureDomain) && !isOutOfService(server.host)
        && !hasStateOut(leaving, server.host);
}

}
