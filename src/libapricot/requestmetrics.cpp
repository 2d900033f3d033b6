#include "libapricot/requestmetrics.h"

namespace Apricot {

namespace {

    MetricLabels labelsOf(const CatalogueEntry& entry)
    {
        return { { "owner", entry.owner.value() }, { "pipeline", entry.name.value() } };
    }

    MetricLabels withLabel(MetricLabels labels, const std::string& name, std::string value)
    {
        labels[name] = std::move(value);
        return labels;
    }

}

void RequestMetrics::recordCompleted(const CatalogueEntry& entry, const RequestTiming& timing,
    const std::vector<StageCost>& costs)
{
    const MetricLabels labels = labelsOf(entry);
    countOutcome(entry, timing.elapsed <= timing.deadline ? "in_time" : "late");
    m_registry
        .histogram("apricot_request_seconds", "Time from a request to the end of its whole answer",
            labels)
        .observe(timing.elapsed);
    if (timing.firstToken) {
        m_registry
            .histogram("apricot_first_token_seconds", "Time from a request to its first token",
                labels)
            .observe(*timing.firstToken);
    }
    for (const StageCost& cost : costs)
        countCost(entry, cost);
}

void RequestMetrics::recordRefused(const CatalogueEntry& entry, const Refusal& refusal)
{
    countOutcome(entry, "refused");
    MetricLabels labels
        = withLabel(labelsOf(entry), "reason", std::string(refusalReasonName(refusal.reason)));
    labels = withLabel(std::move(labels), "ran", std::string(ranStateName(refusal.ran)));
    m_registry.counter("apricot_refusals_total", "Refusals by reason and what had run", labels)
        .add();
}

void RequestMetrics::recordAbandoned(const CatalogueEntry& entry)
{
    countOutcome(entry, "abandoned");
}

void RequestMetrics::countOutcome(const CatalogueEntry& entry, const std::string& outcome)
{
    m_registry
        .counter("apricot_requests_total", "Requests by how they ended",
            withLabel(labelsOf(entry), "outcome", outcome))
        .add();
}

void RequestMetrics::countCost(const CatalogueEntry& entry, const StageCost& cost)
{
    const MetricLabels labels = withLabel(labelsOf(entry), "stage", cost.stage);
    const auto add = [&](const char* name, const char* help, std::uint64_t amount) {
        m_registry.counter(name, help, labels).add(amount);
    };
    add("apricot_stage_busy_milliseconds_total", "Time that servers were busy with a stage",
        static_cast<std::uint64_t>(cost.busy.count()));
    add("apricot_stage_wasted_milliseconds_total", "Busy time whose result was not used",
        static_cast<std::uint64_t>(cost.wasted.count()));
    add("apricot_stage_tokens_total", "Tokens that a stage produced", cost.tokens);
    add("apricot_stage_attempts_total", "Attempts of a stage",
        static_cast<std::uint64_t>(cost.attempts));
}

}
