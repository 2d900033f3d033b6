#include "libserving/callerwaitestimator.h"

#include <algorithm>

namespace Apricot {

CallerWaitEstimator::CallerWaitEstimator(CallerWaitEstimatorOptions options)
    : m_options(options)
{
}

Milliseconds CallerWaitEstimator::recordAttempt(const std::string& route, Milliseconds timeout)
{
    RouteHistory& history = m_routes[route];
    history.timeouts.push_back(timeout);
    ++history.countsByTimeout[timeout];
    if (history.timeouts.size() > m_options.historySize) {
        const auto oldest = history.countsByTimeout.find(history.timeouts.front());
        if (--oldest->second == 0)
            history.countsByTimeout.erase(oldest);
        history.timeouts.pop_front();
    }
    return std::max(usualTimeout(history) - timeout, Milliseconds(0));
}

// The longest timeout that at least `usualShare` of the recorded attempts, and at least two of them,
// have in common; zero when there is none.
Milliseconds CallerWaitEstimator::usualTimeout(const RouteHistory& history) const
{
    const double minCount
        = std::max(m_options.usualShare * static_cast<double>(history.timeouts.size()), 2.0);
    for (const auto& [timeout, count] : history.countsByTimeout) {
        if (count >= minCount)
            return timeout;
    }
    return Milliseconds(0);
}

}
