#pragma once

#include "libapricot/clock.h"

#include <array>
#include <cstddef>

namespace Apricot {

// How the duration of a step compares with the baseline.
enum class StepSpeed {
    // Too few steps recorded for a baseline.
    Unknown,
    Normal,
    // A single slow step, which is no evidence of a slowdown.
    Slow,
    // The median of the recent steps is slow.
    Slowdown,
};

// Detects that a server's steps have become much slower than its baseline, the earliest sign of an
// unannounced cold start. Single slow steps are ignored.
class LatencyBaseline {
public:
    // Records the duration of one step and compares it with the baseline.
    StepSpeed recordStep(Duration step);
    // Sets the baseline to the one measured by another home.
    void inherit(Duration normal);
    // Discards the baseline.
    void reset();
    // Mean duration of a step; zero until enough steps have been recorded.
    Duration normal() const;

private:
    static constexpr std::size_t recentSteps = 3;

    std::array<Duration, recentSteps> m_recent {};
    std::size_t m_stepCount = 0;
    double m_mean = 0;
};

}
