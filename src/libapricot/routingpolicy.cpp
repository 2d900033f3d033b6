#include "libapricot/routingpolicy.h"

#include <stdexcept>
#include <string>

namespace Apricot {

RoutingPolicy routingPolicyNamed(std::string_view name)
{
    if (name == "power_of_two")
        return PowerOfTwoChoices {};
    if (name == "round_robin")
        return RoundRobin {};
    if (name == "least_reported")
        return LeastReportedLoad {};
    throw std::invalid_argument("unknown routing policy " + std::string(name));
}

}
