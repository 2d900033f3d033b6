#include "libapricot/catalogue.h"

#include <algorithm>

namespace Apricot {

namespace {

    template <typename Id>
    bool isMarkedOut(const std::map<Id, ServiceState>& states, const Id& id)
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

bool Catalogue::isOut(const FailureDomainId& domain) const
{
    return isMarkedOut(domains, domain);
}

bool Catalogue::isOut(const HostId& host) const
{
    return isMarkedOut(hosts, host);
}

bool Catalogue::isInService(const BackendServer& server) const
{
    return !isOut(server.failureDomain) && !isOut(server.host)
        && !isMarkedOut(leaving, server.host);
}

}
