#pragma once

#include "libapricot/clock.h"

#include <memory>

namespace Apricot {

// A histogram of durations whose older samples weigh less, for quantiles of recent behaviour.
class LatencyHistogram {
public:
    explicit LatencyHistogram(Duration halfLife);
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

    void record(Duration sample, TimePoint now);
    // Duration that the given share of the weighted samples doesn't exceed; zero without samples.
    Duration quantile(double fraction, TimePoint now) const;
    // Number of samples, each weighted by its age.
    double weight(TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
