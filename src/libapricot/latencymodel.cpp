#include "libapricot/latencymodel.h"

#include <cmath>

namespace Apricot {

namespace {

    constexpr double medianQuantile = 0.5;

    // Estimates the high quantile of a sum of independent durations: the medians are added, and the
    // distances of the high quantiles from them are added in quadrature.
    class QuantileSum {
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

void LatencyModel::recordQueue(
    const StageSpec& stage, ServiceClass serviceClass, Duration queue, TimePoint now)
{
    m_histograms[keyOf(stage)]
        .queues.try_emplace(serviceClass, queueHalfLife)
        .first->second.record(queue, now);
}

StagePrediction LatencyModel::predict(
    const StageSpec& stage, ServiceClass serviceClass, TimePoint now) const
{
    const auto found = m_histograms.find(keyOf(stage));
    if (found == m_histograms.end())
        return {};
    const Histograms& histograms = found->second;
    StagePrediction prediction { .medianService = histograms.service.quantile(medianQuantile, now),
        .highService = histograms.service.quantile(highQuantile, now) };
    const auto queue = histograms.queues.find(serviceClass);
    if (queue == histograms.queues.end())
        return prediction;
    prediction.medianQueue = queue->second.quantile(medianQuantile, now);
    prediction.highQueue = queue->second.quantile(highQuantile, now);
    return prediction;
}

PathPrediction LatencyModel::predictFrom(
    const CatalogueEntry& entry, std::size_t first, TimePoint now) const
{
    QuantileSum service;
    QuantileSum total;
    for (std::size_t index = first; index < entry.stages.size(); ++index) {
        const StagePrediction stage = predict(entry.stages[index], entry.serviceClass, now);
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
