#include "libapricot/latencybaseline.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr std::size_t stepsBeforeJudging = 12;
    constexpr double jumpFactor = 2;
    // Differences below this are scheduling noise.
    constexpr Duration jumpFloor = Milliseconds(5);
    constexpr double meanWeight = 0.05;

}

StepSpeed LatencyBaseline::observe(Duration step)
{
    m_recent.at(m_observed % recentSteps) = step;
    ++m_observed;
    const auto sample = static_cast<double>(step.count());
    if (m_observed <= stepsBeforeJudging) {
        m_mean += (sample - m_mean) / static_cast<double>(m_observed);
        return StepSpeed::Unknown;
    }
    std::array<Duration, recentSteps> sorted = m_recent;
    std::sort(sorted.begin(), sorted.end());
    const Duration median = sorted.at(recentSteps / 2);
    const Duration bound = std::max(
        Duration(static_cast<Duration::rep>(m_mean * jumpFactor)), normal() + jumpFloor);
    m_mean += (sample - m_mean) * meanWeight;
    if (median > bound)
        return StepSpeed::Jump;
    return step > bound ? StepSpeed::Slow : StepSpeed::Normal;
}

void LatencyBaseline::adopt(Duration normal)
{
    m_recent.fill(normal);
    m_observed = stepsBeforeJudging;
    m_mean = static_cast<double>(normal.count());
}

void LatencyBaseline::reset()
{
    *this = LatencyBaseline();
}

Duration LatencyBaseline::normal() const
{
    if (m_observed < stepsBeforeJudging)
        return Duration::zero();
    return Duration(static_cast<Duration::rep>(m_mean));
}

}
