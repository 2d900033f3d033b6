#include "libapricot/ownershare.h"

#include <algorithm>

namespace Apricot {

OwnerShare reserveShare(const OwnerLimits& limits, const OwnerShareOptions& options, std::size_t hosts)
{
    const double divisor = std::max<double>(options.reserveHosts, static_cast<double>(hosts));
    const double part = options.reserve / divisor;
    return { .requestsPerSecond = limits.requestsPerSecond * part,
        .requestsInFlight = static_cast<int>(limits.requestsInFlight * part),
        .tokensPerSecond = limits.tokensPerSecond * part };
}

}
