#include "libserving/callerwaitestimator.h"

#include <algorithm>

namespace Apricot {

CallerWaitEstimator::CallerWaitEstimator(CallerWaitEstimatorOptions options)
    : m_options(options)
{
}

Milliseconds CallerWaitEstimator::recordAttempt(const std::string& route, Milliseconds patience)
{
    Seen& seen = m_routes[route];
    seen.newest.push_back(patience);
    ++seen.counts[patience];
    if (seen.newest.size() > m_options.remembered) {
        const auto oldest = seen.counts.find(seen.newest.front());
        if (--oldest->second == 0)
            seen.counts.erase(oldest);
        seen.newest.pop_front();
    }
    return std::max(usual(seen) - patience, Milliseconds(0));
}

// The longest time that enough of the callers name; zero when there is none.
Milliseconds CallerWaitEstimator::usual(const Seen& seen) const
{
    const double enough
        = std::max(m_options.usualPart * static_cast<double>(seen.newest.size()), 2.0);
    for (const auto& [patience, count] : seen.counts) {
        if (count >= enough)
            return patience;
    }
    return Milliseconds(0);
}

}
