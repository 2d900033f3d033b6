#pragma once

#include "libapricot/latencymodel.h"
#include "libapricot/refusal.h"

#include <map>
#include <optional>

namespace Apricot {

// Properties of a request that decide on its admission.
struct AdmissionQuery {
    const CatalogueEntry& entry;
    // First unfinished stage; not zero for a resumed request.
    std::size_t nextStage = 0;
    TimePoint deadline;
    // Highest utilisation among the pools of the remaining stages; 1 means that all caps are reached.
    double utilisation = 0;
    // What is known to have run for the request's key; reported in a refusal.
    RanState ran = RanState::NotRun;
};

struct AdmissionOptions {
    // Disabled only for the baseline that admits every request.
    bool enabled = true;
    // Share of the remaining time that service and queueing may take, by class. Less urgent classes
    // are refused first, which leaves capacity for the others.
    double bulkShare = 0.4;
    double standardShare = 0.6;
    double urgentShare = 1.0;
    // Bounds of the retry delay returned with a refusal.
    Milliseconds minRetryAfter { 200 };
    Milliseconds maxRetryAfter { 5000 };
    // Per pipeline, one request that is predicted to miss its deadline is admitted in each interval.
    // A prediction that refused every request would get no samples to correct it.
    Milliseconds probeInterval { 500 };
};

// Predicts from recent service and queueing times whether a request can meet its deadline.
class Admission {
public:
    explicit Admission(const LatencyModel& model, AdmissionOptions options = {});

    // Returns nothing if the request is admitted, otherwise the refusal to respond with.
    std::optional<Refusal> check(const AdmissionQuery& query, TimePoint now);
    // Longest time that the next stage may take so that the later stages still meet the deadline, at
    // most the stage's own timeout. Zero if no time remains.
    Milliseconds stageBudget(const CatalogueEntry& entry, std::size_t nextStage,
        TimePoint deadline, TimePoint now) const;
    // Latest instant at which the next stage can start and the request still meet its deadline.
    // Waiting requests are ordered by it and refused once it has passed.
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
