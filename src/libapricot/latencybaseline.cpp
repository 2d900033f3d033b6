#include "libapricot/latencybaseline.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr std::size_t warmUpSteps = 12;
    constexpr double slowdownFactor = 2;
    // Smaller differences are scheduling noise.
    constexpr Duration minSlowdown = Milliseconds(5);
    constexpr double meanWeight = 0.05;

}

StepSpeed LatencyBaseline::recordStep(Duration step)
{
    m_recent.at(m_stepCount % recentSteps) = step;
    ++m_stepCount;
    const auto sample = static_cast<double>(step.count());
    if (m_stepCount <= warmUpSteps) {
        m_mean += (sample - m_mean) / static_cast<double>(m_stepCount);
        return StepSpeed::Unknown;
    }
    std::array<Duration, recentSteps> sorted = m_recent;
    std::sort(sorted.begin(), sorted.end());
    const Duration median = sorted.at(recentSteps / 2);
    const Duration bound = std::max(
        Duration(static_cast<Duration::rep>(m_mean * slowdownFactor)), normal() + minSlowdown);
    m_mean += (sample - m_mean) * meanWeight;
    if (median > bound)
        return StepSpeed::Slowdown;
    return step > bound ? StepSpeed::Slow : StepSpeed::Normal;
}

void LatencyBaseline::inherit(Duration normal)
{
    m_recent.fill(normal);
    m_stepCount = warmUpSteps;
    m_mean = static_cast<double>(normal.count());
}

void LatencyBaseline::reset()
{
    *this = LatencyBaseline();
}

Duration LatencyBaseline::normal() const
{
    if (m_stepCount < warmUpSteps)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(m_mean));
}

}
