#pragma once

#include "libapricot/clock.h"

#include <array>
#include <cstddef>

namespace Apricot {

// How a step compares with the normal ones.
enum class StepSpeed {
    // Too few steps were seen to tell.
    Unknown,
    Normal,
    // Slow by itself, which says nothing yet.
    Slow,
    // The recent steps are slow as a whole.
    Jump,
};

// Notices that a server's steps have become much slower than they were, which is the earliest sign
// of a cold start that nobody announced. Single slow steps are passed over.
class LatencyBaseline {
public:
    // Takes the time of one step and compares it.
    StepSpeed observe(Duration step);
    // Takes over what another home has seen to be normal.
    void adopt(Duration normal);
    // Forgets what was normal.
    void reset();
    // Normal time of a step; zero before enough steps were seen.
    Duration normal() const;

private:
    static constexpr std::size_t recentSteps = 3;

    std::array<Duration, recentSteps> m_recent {};
    std::size_t m_observed = 0;
    double m_mean = 0;
};

}
