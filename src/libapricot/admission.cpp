#include "libapricot/admission.h"

#include <algorithm>

namespace Apricot {

namespace {

    Milliseconds toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration);
    }

}

Admission::Admission(const LatencyModel& model, AdmissionOptions options)
    : m_model(model)
    , m_options(options)
{
}

std::optional<Refusal> Admission::check(const AdmissionQuery& query, TimePoint now)
{
    const Duration timeLeft = query.deadline - now;
    if (timeLeft <= Duration::zero())
        return Refusal { .reason = RefusalReason::DeadlinePassed, .ran = query.ran };
    if (!m_options.enabled)
        return std::nullopt;
    const PathPrediction path = m_model.predictFrom(query.entry, query.nextStage, now);
    if (auto refusal = refuseByPrediction(query, path, timeLeft)) {
        if (tryAcquireProbe(query.entry.name, now))
            return std::nullopt;
        return refusal;
    }
    return refuseByUtilisation(query, path, timeLeft);
}

std::optional<Refusal> Admission::refuseByPrediction(
    const AdmissionQuery& query, const PathPrediction& path, Duration timeLeft) const
{
    if (path.service > timeLeft) {
        // The service times alone exceed the deadline, so a retry with the same deadline can't succeed.
        return Refusal { .reason = RefusalReason::DeadlineUnreachable,
            .ran = query.ran,
            .detail = "the deadline can't be met, the predicted service time is "
                + std::to_string(toMilliseconds(path.service).count()) + " ms" };
    }
    // Recorded queueing times lag behind; with free capacity on the servers they don't apply.
    if (path.total <= timeLeft || query.utilisation <= 1)
        return std::nullopt;
    return Refusal { .reason = RefusalReason::Overloaded,
        .ran = query.ran,
        .retryAfter = retryAfter(path.total - timeLeft),
        .detail = "predicted queueing time exceeds the deadline" };
}

std::optional<Refusal> Admission::refuseByUtilisation(
    const AdmissionQuery& query, const PathPrediction& path, Duration timeLeft) const
{
    if (query.utilisation <= 1)
        return std::nullopt;
    // Work in excess of the caps waits until the work ahead of it has finished.
    const Duration wait = std::chrono::duration_cast<Duration>(path.service * (query.utilisation - 1));
    const Duration usableTime
        = std::chrono::duration_cast<Duration>(timeLeft * usableShareOf(query.entry.serviceClass));
    if (path.service + wait <= usableTime)
        return std::nullopt;
    return Refusal { .reason = RefusalReason::Overloaded,
        .ran = query.ran,
        .retryAfter = retryAfter(path.service + wait - usableTime),
        .detail = "backend server utilisation exceeds the limit of this service class" };
}

bool Admission::tryAcquireProbe(const PipelineId& pipeline, TimePoint now)
{
    const auto [last, isFirst] = m_lastProbe.try_emplace(pipeline, now);
    if (isFirst || now - last->second < m_options.probeInterval)
        return false;
    last->second = now;
    return true;
}

Milliseconds Admission::stageBudget(const CatalogueEntry& entry, std::size_t nextStage,
    TimePoint deadline, TimePoint now) const
{
    Duration laterStagesTime {};
    for (std::size_t index = nextStage + 1; index < entry.stages.size(); ++index)
        laterStagesTime += m_model.predict(entry.stages[index], entry.serviceClass, now).medianService;
    const Milliseconds timeLeft = toMilliseconds(deadline - now - laterStagesTime);
    return std::clamp(timeLeft, Milliseconds(0), entry.stages.at(nextStage).timeout);
}

TimePoint Admission::latestStart(const CatalogueEntry& entry, std::size_t nextStage,
    TimePoint deadline, TimePoint now) const
{
    return deadline - m_model.predictFrom(entry, nextStage, now).service;
}

double Admission::usableShareOf(ServiceClass serviceClass) const
{
    switch (serviceClass) {
    case ServiceClass::Urgent:
        return m_options.urgentShare;
    case ServiceClass::Standard:
        return m_options.standardShare;
    case ServiceClass::Bulk:
        return m_options.bulkShare;
    }
    return m_options.standardShare;
}

Milliseconds Admission::retryAfter(Duration wait) const
{
    return std::clamp(toMilliseconds(wait), m_options.minRetryAfter, m_options.maxRetryAfter);
}

}
