#pragma once

#include "libapricot/latencymodel.h"
#include "libapricot/refusal.h"

#include <map>
#include <optional>

namespace Apricot {

// What admission looks at for one request.
struct AdmissionQuery {
    const CatalogueEntry& entry;
    // First stage that has not finished; a resumed request has finished some.
    std::size_t nextStage = 0;
    TimePoint deadline;
    // Highest share in use among the pools of the remaining stages; one means that all caps are full.
    double utilisation = 0;
    // Whether any stage of the request's key has been sent before.
    RanState ran = RanState::NotRun;
};

struct AdmissionOptions {
    // Off only for the baseline that admits everything.
    bool enabled = true;
    // Share of the time left that service and the present queues may fill. The less urgent classes
    // are turned away first, which keeps room for the others.
    double bulkShare = 0.4;
    double standardShare = 0.6;
    double urgentShare = 1.0;
    // Shortest time that a caller is asked to stay away.
    Milliseconds minRetryAfter { 200 };
    Milliseconds maxRetryAfter { 5000 };
    // A request that looks hopeless is let through this often for each pipeline, since a prediction
    // that refuses everything would never be corrected.
    Milliseconds probeInterval { 500 };
};

// Decides at once whether a request can finish in time, from recent service and queueing times.
class Admission {
public:
    explicit Admission(const LatencyModel& model, AdmissionOptions options = {});

    // Nothing when the request is admitted, otherwise the refusal to answer with.
    std::optional<Refusal> check(const AdmissionQuery& query, TimePoint now);
    // Longest time that the next stage may take so that the later ones still fit before the deadline,
    // within the stage's own timeout. Zero when nothing is left.
    Milliseconds stageBudget(const CatalogueEntry& entry, std::size_t nextStage,
        TimePoint deadline, TimePoint now) const;
    // Latest instant at which the next stage can begin and the request still be in time. Waiting
    // work is ordered by it, and given up once it has passed.
    TimePoint latestStart(const CatalogueEntry& entry, std::size_t nextStage,
        TimePoint deadline, TimePoint now) const;

private:
    std::optional<Refusal> refuseByPrediction(
        const AdmissionQuery& query, const PathPrediction& path, Duration timeLeft) const;
    std::optional<Refusal> refuseByUtilisation(
        const AdmissionQuery& query, const PathPrediction& path, Duration timeLeft) const;
    bool tryAcquireProbe(const PipelineId& pipeline, TimePoint now);
    double usableShareOf(ServiceClass serviceClass) const;
    Milliseconds retryAfter(Duration wait) const;

    const LatencyModel& m_model;
    AdmissionOptions m_options;
    std::map<PipelineId, TimePoint> m_lastProbe;
};

}
