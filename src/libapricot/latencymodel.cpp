#include "libapricot/latencymodel.h"

#include <cmath>

namespace Apricot {

namespace {

    constexpr double medianQuantile = 0.5;

    // Sums medians and, squared, the distances of the high quantiles from them.
    class SpreadSum {
    public:
        void add(Duration median, Duration high)
        {
            const auto spread = static_cast<double>((high - median).count());
            m_median += median;
            m_squaredSpread += spread * spread;
        }

        Duration high() const
        {
            return m_median + Duration(static_cast<Duration::rep>(std::sqrt(m_squaredSpread)));
        }

    private:
        Duration m_median {};
        double m_squaredSpread = 0;
    };

}

void LatencyModel::recordService(const StageSpec& stage, Duration service, TimePoint now)
{
    m_histograms[keyOf(stage)].service.record(service, now);
}

void LatencyModel::recordQueue(const StageSpec& stage, Duration queue, TimePoint now)
{
    m_histograms[keyOf(stage)].queue.record(queue, now);
}

StagePrediction LatencyModel::predict(const StageSpec& stage, TimePoint now) const
{
    const auto found = m_histograms.find(keyOf(stage));
    if (found == m_histograms.end())
        return {};
    const Histograms& histograms = found->second;
    return { .medianService = histograms.service.quantile(medianQuantile, now),
        .highService = histograms.service.quantile(highQuantile, now),
        .medianQueue = histograms.queue.quantile(medianQuantile, now),
        .highQueue = histograms.queue.quantile(highQuantile, now) };
}

PathPrediction LatencyModel::predictFrom(
    const std::vector<StageSpec>& stages, std::size_t first, TimePoint now) const
{
    SpreadSum service;
    SpreadSum total;
    for (std::size_t index = first; index < stages.size(); ++index) {
        const StagePrediction stage = predict(stages[index], now);
        service.add(stage.medianService, stage.highService);
        total.add(stage.medianService, stage.highService);
        total.add(stage.medianQueue, stage.highQueue);
    }
    return { .service = service.high(), .total = total.high() };
}

LatencyModel::Key LatencyModel::keyOf(const StageSpec& stage)
{
    return { .pool = stage.pool, .stage = stage.name, .maxTokens = stage.maxTokens };
}

}
