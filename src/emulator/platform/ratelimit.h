#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// A token bucket that holds at most one second's worth of calls. A rate of zero admits everything.
class RateLimit {
public:
    RateLimit(double callsPerSecond, TimePoint now);

    // Takes one call out of the bucket; false when it is empty.
    bool tryAcquire(TimePoint now);

private:
    double m_callsPerSecond;
    double m_tokens;
    TimePoint m_refilledAt;
};

}
