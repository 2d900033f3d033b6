#include "libserving/servingconfig.h"

#include <algorithm>
#include <cctype>

namespace Apricot {

namespace {

    bool equalsIgnoringCase(std::string_view left, std::string_view right)
    {
        return std::equal(left.begin(), left.end(), right.begin(), right.end(),
            [](unsigned char leftByte, unsigned char rightByte) {
                return std::tolower(leftByte) == std::tolower(rightByte);
            });
    }

    // Removes the port from the value of a Host header.
    std::string_view hostName(std::string_view host) { return host.substr(0, host.find(':')); }

}

Milliseconds Route::firstEventTimeout() const
{
    // The platform's callers abandon a stream that sends no event for the longest of these times.
    constexpr Milliseconds minTimeout { 2000 };
    constexpr int objectiveFactor = 4;
    constexpr int pauseFactor = 8;
    return std::max({ minTimeout, objectiveFactor * objective, pauseFactor * pauseTarget });
}

const Route* ServingConfig::findRoute(std::string_view host, std::string_view path) const
{
    const Route* longestMatch = nullptr;
    for (const Route& route : routes) {
        if (!path.starts_with(route.pathPrefix) || !equalsIgnoringCase(hostName(host), route.host))
            continue;
        if (!longestMatch || route.pathPrefix.size() > longestMatch->pathPrefix.size())
            longestMatch = &route;
    }
    return longestMatch;
}

const Owner* ServingConfig::findOwner(std::string_view key) const
{
    if (!owners || key.empty())
        return nullptr;
    const auto found = std::find_if(owners->begin(), owners->end(), [key](const Owner& owner) {
        return std::find(owner.keys.begin(), owner.keys.end(), key) != owner.keys.end();
    });
    return found == owners->end() ? nullptr : &*found;
}

const Pool* ServingConfig::findPool(const PoolId& id) const
{
    const auto found = pools.find(id);
    return found == pools.end() ? nullptr : &found->second;
}

Milliseconds ServingConfig::resumptionTime(const PoolId& pool) const
{
    // A route without a timeout leaves it to its callers.
    constexpr Milliseconds unlimitedTimeout { 60'000 };
    constexpr int attempts = 2;
    // Streams that began under an earlier configuration last for as long as their callers' deadlines allow, whatever
    // the timeouts are now, and a host that has just started does not know the earlier ones.
    constexpr Milliseconds minResumptionTime { 30'000 };
    Milliseconds longest { 0 };
    for (const Route& route : routes) {
        const bool usesPool = std::any_of(route.pools.begin(), route.pools.end(),
            [&pool](const PoolShare& share) { return share.pool == pool; });
        if (route.retryRule == RetryRule::Stream && usesPool)
            longest = std::max(longest, route.timeout.count() > 0 ? route.timeout : unlimitedTimeout);
    }
    return std::max(attempts * longest, minResumptionTime);
}

}
