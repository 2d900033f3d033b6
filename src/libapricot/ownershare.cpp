#include "libapricot/ownershare.h"

#include <algorithm>

namespace Apricot {

OwnerShare reserveShare(const OwnerLimits& limits, const OwnerShareOptions& options, std::size_t hosts)
{
    const double divisor = std::max<double>(options.reserveHosts, static_cast<double>(hosts));
    const double fraction = options.reserve / divisor;
    return { .requestsPerSecond = limits.requestsPerSecond * fraction,
        .requestsInFlight = static_cast<int>(limits.requestsInFlight * fraction),
        .tokensPerSecond = limits.tokensPerSecond * fraction };
}

}
