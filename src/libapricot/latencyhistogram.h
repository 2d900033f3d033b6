#pragma once

#include "libapricot/clock.h"

#include <memory>

namespace Apricot {

// Histogram of durations with exponentially decaying weights, for quantiles of recent samples.
class LatencyHistogram {
public:
    explicit LatencyHistogram(Duration halfLife);
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram&&) noexcept;
    LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

    void record(Duration sample, TimePoint now);
    // Duration that the given fraction of the weighted samples doesn't exceed; zero if the total weight
    // is too low for an estimate.
    Duration quantile(double fraction, TimePoint now) const;
    // Number of samples, each weighted by its age.
    double weight(TimePoint now) const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

}
