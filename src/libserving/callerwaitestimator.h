#pragma once

#include "libapricot/clock.h"

#include <deque>
#include <functional>
#include <map>
#include <string>

namespace Apricot {

struct CallerWaitEstimatorOptions {
    // Requests of a route that are remembered.
    std::size_t historySize = 40;
    // Part of them that has to name the same time for it to be the usual one.
    double usualShare = 0.2;
};

// Tells how long a caller has waited before this attempt. Objectives count from a caller's first
// attempt, of which a later one says nothing; but callers of a route begin with the same time, and an
// attempt after a refusal names what is left of it.
class CallerWaitEstimator {
public:
    explicit CallerWaitEstimator(CallerWaitEstimatorOptions options = {});

    // Notes the time that an attempt names, and returns how much of the usual time has passed.
    Milliseconds recordAttempt(const std::string& route, Milliseconds timeout);

private:
    struct RouteHistory {
        std::deque<Milliseconds> timeouts;
        // How many name each time, the longest first.
        std::map<Milliseconds, int, std::greater<>> countsByTimeout;
    };

    Milliseconds usualTimeout(const RouteHistory& history) const;

    CallerWaitEstimatorOptions m_options;
    std::map<std::string, RouteHistory> m_routes;
};

}
