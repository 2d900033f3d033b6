#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Token bucket with a capacity of one second's worth of calls. A rate of zero means no limit.
class RateLimit {
public:
    RateLimit(double callsPerSecond, TimePoint now);

    // Acquires the permit for one call. Returns false if the bucket is empty.
    bool tryAcquire(TimePoint now);

private:
    double m_callsPerSecond;
    double m_tokens;
    TimePoint m_refilledAt;
};

}
