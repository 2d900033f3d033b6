#include "libapricot/catalogue.h"

namespace Apricot {

namespace {

    template <typename Id>
    bool isMarkedOut(const std::map<Id, ServiceState>& states, const Id& id)
    {
        const auto found = states.find(id);
        return found != states.end() && found->second == ServiceState::Out;
    }

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
