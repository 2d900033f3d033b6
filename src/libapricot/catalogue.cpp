#include "libapricot/catalogue.h"

namespace Apricot {

namespace {

    template <typename Id>
    bool isOut(const std::map<Id, ServiceState>& states, const Id& id)
    {
        const auto found = states.find(id);
        return found != states.end() && found->second == ServiceState::Out;
    }

}

bool Catalogue::isInService(const BackendServer& server) const
{
    return !isOut(domains, server.failureDomain) && !isOut(hosts, server.host)
        && !isOut(leaving, server.host);
}

}
