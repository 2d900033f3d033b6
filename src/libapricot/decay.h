#pragma once

#include "libapricot/clock.h"

namespace Apricot {

// Factor by which a value decays exponentially over the elapsed time.
double decayFactor(Duration elapsed, Duration halfLife);

// Exponentially weighted moving mean. The weights depend on the number of samples, not on time.
class DecayingMean {
public:
    // Weight of each new sample; the first few samples are averaged evenly instead.
    static constexpr double sampleWeight = 0.2;

    void add(double sample);
    double value() const { return m_value; }
    int sampleCount() const { return m_sampleCount; }

private:
    double m_value = 0;
    int m_sampleCount = 0;
};

}
