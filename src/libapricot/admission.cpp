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
    const Duration left = query.deadline - now;
    if (left <= Duration::zero())
        return Refusal { .reason = RefusalReason::DeadlinePassed, .ran = query.ran };
    if (!m_options.enabled)
        return std::nullopt;
    const PathPrediction path = m_model.predictFrom(query.entry, query.nextStage, now);
    if (auto refusal = refuseByPrediction(query, path, left)) {
        if (takeProbe(query.entry.name, now))
            return std::nullopt;
        return refusal;
    }
    return refuseByUtilisation(query, path, left);
}

std::optional<Refusal> Admission::refuseByPrediction(
    const AdmissionQuery& query, const PathPrediction& path, Duration left) const
{
    if (path.service > left) {
        // Even with empty queues it is too late, so the same deadline can't be met later either.
        return Refusal { .reason = RefusalReason::DeadlineUnreachable,
            .ran = query.ran,
            .detail = "needs " + std::to_string(toMilliseconds(path.service).count()) + " ms" };
    }
    // Queueing times are of the past; with room on the servers now they say nothing.
    if (path.total <= left || query.utilisation <= 1)
        return std::nullopt;
    return Refusal { .reason = RefusalReason::Overloaded,
        .ran = query.ran,
        .retryAfter = retryAfter(path.total - left),
        .detail = "queues are too long for the deadline" };
}

std::optional<Refusal> Admission::refuseByUtilisation(
    const AdmissionQuery& query, const PathPrediction& path, Duration left) const
{
    if (query.utilisation <= 1)
        return std::nullopt;
    // What is beyond the caps waits for as long as the work before it takes.
    const Duration wait = std::chrono::duration_cast<Duration>(path.service * (query.utilisation - 1));
    const Duration allowed
        = std::chrono::duration_cast<Duration>(left * shareOf(query.entry.serviceClass));
    if (path.service + wait <= allowed)
        return std::nullopt;
    return Refusal { .reason = RefusalReason::Overloaded,
        .ran = query.ran,
        .retryAfter = retryAfter(path.service + wait - allowed),
        .detail = "backend servers are full for this class" };
}

bool Admission::takeProbe(const PipelineId& pipeline, TimePoint now)
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
    Duration later {};
    for (std::size_t index = nextStage + 1; index < entry.stages.size(); ++index)
        later += m_model.predict(entry.stages[index], entry.serviceClass, now).medianService;
    const Milliseconds left = toMilliseconds(deadline - now - later);
    return std::clamp(left, Milliseconds(0), entry.stages.at(nextStage).timeout);
}

TimePoint Admission::latestStart(const CatalogueEntry& entry, std::size_t nextStage,
    TimePoint deadline, TimePoint now) const
{
    return deadline - m_model.predictFrom(entry, nextStage, now).service;
}

double Admission::shareOf(ServiceClass serviceClass) const
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
    return std::clamp(toMilliseconds(wait), m_options.leastRetryAfter, m_options.mostRetryAfter);
}

}
