#include "libapricot/latencyhistogram.h"

#include "libapricot/decay.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace {

    namespace bh = boost::histogram;

    constexpr int binCount = 64;
    constexpr double minMilliseconds = 0.05;
    constexpr double maxMilliseconds = 120'000;
    // With less total weight the samples are too old for an estimate of the present.
    constexpr double minWeight = 0.5;
    // Limit of the total weight. At higher sample rates older samples are scaled down, so that the
    // estimate follows changes equally fast at any rate.
    constexpr double maxWeight = 64;

    using Axis = bh::axis::regular<double, bh::axis::transform::log>;
    using Counts = bh::histogram<std::tuple<Axis>, bh::dense_storage<double>>;

    Duration toDuration(double value)
    {
        return std::chrono::duration_cast<Duration>(
            std::chrono::duration<double, std::milli>(value));
    }

}

class LatencyHistogram::Impl {
public:
    explicit Impl(Duration halfLife)
        : m_halfLife(halfLife)
        , m_counts(bh::make_histogram_with(bh::dense_storage<double>(),
              Axis(binCount, minMilliseconds, maxMilliseconds)))
    {
    }

    void record(Duration sample, TimePoint now)
    {
        const double decayed = m_weight * decayFactor(now - m_updatedAt, m_halfLife);
        const double targetWeight = std::min(decayed, maxWeight - 1);
        if (targetWeight < m_weight) {
            m_counts *= targetWeight / m_weight;
            m_weight = targetWeight;
        }
        m_updatedAt = now;
        m_counts(inMilliseconds(sample));
        m_weight += 1;
    }

    Duration quantile(double fraction, TimePoint now) const
    {
        if (weight(now) < minWeight)
            return Duration::zero();
        double remainingWeight = fraction * m_weight;
        const Axis& axis = m_counts.axis();
        for (int bin = -1; bin <= axis.size(); ++bin) {
            const double count = m_counts.at(bin);
            if (count >= remainingWeight && count > 0)
                return toDuration(valueInBin(axis, bin, remainingWeight / count));
            remainingWeight -= count;
        }
        return toDuration(maxMilliseconds);
    }

    double weight(TimePoint now) const
    {
        return m_weight * decayFactor(now - m_updatedAt, m_halfLife);
    }

private:
    static double valueInBin(const Axis& axis, int bin, double offset)
    {
        if (bin < 0)
            return 0;
        if (bin >= axis.size())
            return maxMilliseconds;
        return axis.value(bin + offset);
    }

    Duration m_halfLife;
    Counts m_counts;
    double m_weight = 0;
    TimePoint m_updatedAt {};
};

LatencyHistogram::LatencyHistogram(Duration halfLife)
    : m_impl(std::make_unique<Impl>(halfLife))
{
}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept = default;

void LatencyHistogram::record(Duration sample, TimePoint now) { m_impl->record(sample, now); }

Duration LatencyHistogram::quantile(double fraction, TimePoint now) const
{
    return m_impl->quantile(fraction, now);
}

double LatencyHistogram::weight(TimePoint now) const { return m_impl->weight(now); }

}
