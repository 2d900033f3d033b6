#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Token bucket with a burst size of one second's rate, but at least one event.
class TokenBucket {
public:
    // Sets the rate per second from now on. A new bucket starts with a level of one.
    void setRate(double rate, TimePoint now);
    // Acquires an amount if the level is at least minLevel. The level may fall below zero, so that an
    // amount larger than the burst size is possible; later events wait until it has recovered.
    bool tryAcquire(double amount, double minLevel, TimePoint now);
    // Corrects the level after an acquisition: positive amounts are returned, negative ones acquired.
    void adjust(double amount, TimePoint now);
    // Time until the bucket reaches the given level, at most one hour; one hour if the rate is zero.
    Duration timeUntil(double level, TimePoint now) const;

private:
    double levelAt(TimePoint now) const;

    double m_rate = 0;
    double m_level = 1;
    TimePoint m_updatedAt {};
};

}
