#include "libapricot/routingpolicy.h"

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>

namespace Apricot {

namespace {

    struct NamedPolicy {
        std::string_view name;
        RoutingPolicy policy;
    };

    const std::array<NamedPolicy, 3> namedPolicies { {
        { "power_of_two", PowerOfTwoChoices {} },
        { "round_robin", RoundRobin {} },
        { "least_reported", LeastReportedLoad {} },
    } };

    const NamedPolicy* findPolicy(std::string_view name)
    {
        const auto* found = std::find_if(namedPolicies.begin(), namedPolicies.end(),
            [name](const NamedPolicy& policy) { return policy.name == name; });
        return found == namedPolicies.end() ? nullptr : found;
    }

}

RoutingPolicy routingPolicyNamed(std::string_view name)
{
    const NamedPolicy* found = findPolicy(name);
    if (!found)
        throw std::invalid_argument("unknown routing policy " + std::string(name));
    return found->policy;
}

bool isRoutingPolicyName(std::string_view name) { return findPolicy(name) != nullptr; }

}
