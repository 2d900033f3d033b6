#include "libserving/firsteventestimator.h"

#include <cmath>

namespace Apricot {

namespace {

    // Tokens that the fixed time of an engine's first step counts for.
    constexpr double fixedTokens = 800;
    constexpr double newestWeight = 0.05;

}

void FirstEventEstimator::recordFirstEvent(double promptTokens, Duration took)
{
    const double milliseconds = inMilliseconds(took);
    m_perToken += newestWeight * (milliseconds / (promptTokens + fixedTokens) - m_perToken);
}

Milliseconds FirstEventEstimator::expected(double promptTokens) const
{
    return Milliseconds(std::lround(m_perToken * (promptTokens + fixedTokens)));
}

}
