#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/latencyhistogram.h"

#include <map>

namespace Apricot {

// Time that a stage is expected to take, apart from and with the wait for a server.
struct StagePrediction {
    Duration medianService {};
    Duration highService {};
    Duration medianQueue {};
    Duration highQueue {};

    auto operator<=>(const StagePrediction&) const = default;
};

// Predicted time of several stages in a row. Squared spreads are added, since the stages' delays are
// largely independent; summing high quantiles would refuse much that finishes in time.
struct PathPrediction {
    // High quantile with empty queues and with today's queues.
    Duration service {};
    Duration total {};

    auto operator<=>(const PathPrediction&) const = default;
};

// Recent service and queueing times of each stage in its pool.
class LatencyModel {
public:
    static constexpr Milliseconds serviceHalfLife { 10000 };
    // Queues change faster than service times. When no sample comes any more because everything is
    // refused, the estimate falls away in this time and admission begins again.
    static constexpr Milliseconds queueHalfLife { 500 };
    static constexpr double highQuantile = 0.95;

    void recordService(const StageSpec& stage, Duration service, TimePoint now);
    // Queues are kept apart by class, since the more urgent one overtakes the others.
    void recordQueue(
        const StageSpec& stage, ServiceClass serviceClass, Duration queue, TimePoint now);

    StagePrediction predict(
        const StageSpec& stage, ServiceClass serviceClass, TimePoint now) const;
    // Prediction for an entry's stages from the first given one to the last.
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
