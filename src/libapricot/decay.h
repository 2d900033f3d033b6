#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Factor by which a value shrinks over a time, given the time in which it halves.
double decayFactor(Duration elapsed, Duration halfLife);

// A running mean whose older samples weigh less. Immutable samples, no clock of its own.
class DecayingMean {
public:
    // Each new sample weighs this share of the mean once enough samples are in.
    static constexpr double sampleWeight = 0.2;

    void add(double sample);
    double value() const { return m_value; }
    int sampleCount() const { return m_sampleCount; }

private:
    double m_value = 0;
    int m_sampleCount = 0;
};

}
