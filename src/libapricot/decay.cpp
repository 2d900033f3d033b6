#include "libapricot/decay.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

double decayFactor(Duration elapsed, Duration halfLife)
{
    if (elapsed <= Duration::zero())
        return 1;
    return std::exp2(-std::chrono::duration<double>(elapsed) / std::chrono::duration<double>(halfLife));
}

void DecayingMean::add(double sample)
{
    ++m_sampleCount;
    const double weight = std::max(sampleWeight, 1.0 / m_sampleCount);
    m_value += weight * (sample - m_value);
}

}
