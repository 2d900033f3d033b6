#include "dispatch/loadcontrol.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace {

    int expectedTokens(const CatalogueEntry& entry)
    {
        int tokens = 0;
        for (const StageSpec& stage : entry.stages)
            tokens += stage.kind == StageKind::Generate ? stage.maxTokens : 1;
        return tokens;
    }

    boost::json::object toJson(const CostTotal& total)
    {
        return { { "busy_ms", total.busy.count() }, { "wasted_ms", total.wasted.count() },
            { "tokens", total.tokens }, { "attempts", total.attempts } };
    }

}

LoadControl::LoadControl(LoadRouter& router, LimitService& limits, AdmissionOptions options)
    : m_router(router)
    , m_limits(limits)
    , m_admission(m_latencies, options)
{
}

std::optional<Refusal> LoadControl::admit(
    const CatalogueEntry& entry, const ControlView& view, TimePoint deadline, TimePoint now)
{
    double utilisation = 0;
    for (const StageSpec& stage : entry.stages)
        utilisation = std::max(utilisation, m_router.utilisation(view, stage.pool, now));
    const AdmissionQuery query {
        .entry = entry, .deadline = deadline, .utilisation = utilisation
    };
    // Checked last, as only a request that runs may consume the owner's share.
    if (auto refusal = m_admission.check(query, now))
        return refusal;
    return m_limits.admit(entry.owner, entry.limits, expectedTokens(entry), now);
}

void LoadControl::onRequestFinished(const CatalogueEntry& entry, int tokens, TimePoint now)
{
    m_limits.onRequestFinished(entry.owner, tokens, now);
}

void LoadControl::onAttemptEnded(const CatalogueEntry& entry, const StageOutcome& outcome,
    Duration elapsed, TimePoint now)
{
    m_costs.record(entry, outcome, outcome.end == StageEndReason::Finished);
    if (outcome.end != StageEndReason::Finished || outcome.attempt.stage >= entry.stages.size())
        return;
    const StageSpec& stage = entry.stages[outcome.attempt.stage];
    m_latencies.recordService(stage, outcome.busy, now);
    m_latencies.recordQueue(stage, entry.serviceClass, std::max(Duration::zero(), elapsed - outcome.busy), now);
}

boost::json::value LoadControl::dump(TimePoint now) const
{
    boost::json::array stages;
    for (const auto& [key, total] : m_costs.byStage()) {
        boost::json::object stage = toJson(total);
        stage["pipeline"] = key.pipeline.value();
        stage["stage"] = key.stage;
        stages.push_back(std::move(stage));
    }
    boost::json::array owners;
    for (const auto& [owner, total] : m_costs.byOwner()) {
        boost::json::object cost = toJson(total);
        cost["owner"] = owner.value();
        owners.push_back(std::move(cost));
    }
    return boost::json::object { { "cost_by_stage", std::move(stages) },
        { "cost_by_owner", std::move(owners) }, { "limits", m_limits.dump(now) } };
}

AdmittedRequest::AdmittedRequest(LoadControl& control, CatalogueEntry entry)
    : m_control(control)
    , m_entry(std::move(entry))
{
}

AdmittedRequest::~AdmittedRequest()
{
    m_control.onRequestFinished(m_entry, m_tokens, RuntimeClock::now());
}

}
