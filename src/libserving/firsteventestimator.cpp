#include "libserving/firsteventestimator.h"

#include <cmath>

namespace Apricot {

namespace {

    // Fixed duration of an engine's first step, expressed in prompt tokens.
    constexpr double fixedCostTokens = 800;
    constexpr double newestSampleWeight = 0.05;

}

void FirstEventEstimator::recordFirstEvent(double promptTokens, Duration elapsed)
{
    const double milliseconds = inMilliseconds(elapsed);
    m_millisecondsPerToken += newestSampleWeight
        * (milliseconds / (promptTokens + fixedCostTokens) - m_millisecondsPerToken);
}

Milliseconds FirstEventEstimator::expectedTime(double promptTokens) const
{
    return Milliseconds(std::lround(m_millisecondsPerToken * (promptTokens + fixedCostTokens)));
}

}
