#pragma once

#include "libapricot/clock.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Apricot {

struct CallerWaitEstimatorOptions {
    // Number of latest attempts of a route that are evaluated.
    std::size_t historySize = 40;
    // Share of these attempts that must have the same timeout for it to be the usual one.
    double usualShare = 0.2;
};

// Estimates how long a caller has waited before its current attempt. Objectives count from a caller's
// first attempt, and a retry does not say when that was. But the first attempts to a route usually have
// the same timeout, and a retry after a refusal sends the rest of it, so the difference is the time
// already waited.
class CallerWaitEstimator {
public:
    explicit CallerWaitEstimator(CallerWaitEstimatorOptions options = {});

    // Records the timeout of an attempt and returns how far it is below the usual timeout of the route.
    Milliseconds recordAttempt(const std::string& route, Milliseconds timeout);

private:
    struct RouteHistory {
        std::deque<Milliseconds> timeouts;
        // Number of attempts with each timeout, longest timeout first.
        std::map<Milliseconds, int, std::greater<>> countsByTimeout;
    };

    Milliseconds usualTimeout(const RouteHistory& history) const;

    CallerWaitEstimatorOptions m_options;
    std::map<std::string, RouteHistory> m_routes;
};

}
