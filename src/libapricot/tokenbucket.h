#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Admits events at a rate, with bursts of up to a second's worth and of at least one event.
class TokenBucket {
public:
    // Changes the rate per second from now on. A new bucket begins with one event's worth.
    void setRate(double rate, TimePoint now);
    // Takes an amount when the level allows the least one. The level may fall below zero, which later
    // events wait for; so an amount can be larger than the bucket.
    bool tryAcquire(double amount, double minLevel, TimePoint now);
    // Gives back what was taken too much, or takes more when negative.
    void adjust(double amount, TimePoint now);
    // Time until the level reaches the given one, or the longest duration when it never does.
    Duration timeUntil(double level, TimePoint now) const;

private:
    double levelAt(TimePoint now) const;

    double m_rate = 0;
    double m_level = 1;
    TimePoint m_updatedAt {};
};

}
