#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/latencyhistogram.h"

#include <map>

namespace Apricot {

// Predicted service time of a stage and queueing time before it: median and high quantile of each.
struct StagePrediction {
    Duration medianService {};
    Duration highService {};
    Duration medianQueue {};
    Duration highQueue {};

    auto operator<=>(const StagePrediction&) const = default;
};

// Predicted time of several consecutive stages. Deviations from the medians are added in quadrature,
// since the delays of the stages are largely independent; the sum of the high quantiles would refuse
// many requests that finish in time.
struct PathPrediction {
    // High quantile without queueing (service) and with the recent queueing times (total).
    Duration service {};
    Duration total {};

    auto operator<=>(const PathPrediction&) const = default;
};

// Recent service and queueing times by pool and stage.
class LatencyModel {
public:
    static constexpr Milliseconds serviceHalfLife { 10000 };
    // Shorter, since queues change faster than service times. While all requests are refused, no
    // samples arrive; the estimate then decays with this half-life and admission resumes.
    static constexpr Milliseconds queueHalfLife { 500 };
    static constexpr double highQuantile = 0.95;

    void recordService(const StageSpec& stage, Duration service, TimePoint now);
    // Queueing times are recorded per class, since more urgent classes are served first.
    void recordQueue(
        const StageSpec& stage, ServiceClass serviceClass, Duration queue, TimePoint now);

    StagePrediction predict(
        const StageSpec& stage, ServiceClass serviceClass, TimePoint now) const;
    // Prediction for the entry's stages from index first to the last one.
    PathPrediction predictFrom(
        const CatalogueEntry& entry, std::size_t first, TimePoint now) const;

private:
    struct Key {
        PoolId pool;
        std::string stage;
        int maxTokens = 0;

        auto operator<=>(const Key&) const = default;
    };
    struct Histograms {
        LatencyHistogram service { serviceHalfLife };
        std::map<ServiceClass, LatencyHistogram> queues;
    };

    static Key keyOf(const StageSpec& stage);

    std::map<Key, Histograms> m_histograms;
};

}
