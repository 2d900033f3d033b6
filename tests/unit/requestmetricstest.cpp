#include "property.h"

#include "libapricot/dispatchmetrics.h"
#include "libapricot/requestmetrics.h"

#include <boost/json/parse.hpp>

using namespace Apricot;

namespace {

CatalogueEntry sheets()
{
    CatalogueEntry entry;
    entry.name = PipelineId("sheets");
    entry.owner = OwnerId("kitchen");
    return entry;
}

void checkLine(const MetricRegistry& registry, const std::string& line)
{
    CHECK_TRUE_TEXT(registry.text().find(line + "\n") != std::string::npos, line.c_str());
}

}

TEST_GROUP(RequestMetrics) {};

TEST(RequestMetrics, attainmentAndCostAreCounted)
{
    MetricRegistry registry;
    RequestMetrics metrics(registry);
    const std::vector<StageCost> costs { { .stage = "generate",
        .busy = Milliseconds(70),
        .wasted = Milliseconds(20),
        .tokens = 9,
        .attempts = 2 } };
    const Milliseconds deadline(1000);
    metrics.recordCompleted(sheets(), { Milliseconds(1000), Milliseconds(40), deadline }, costs);
    metrics.recordCompleted(sheets(), { Milliseconds(1001), std::nullopt, deadline }, costs);
    metrics.recordRefused(sheets(),
        { .reason = RefusalReason::Overloaded, .ran = RanState::NotRun });
    metrics.recordAbandoned(sheets());
    const std::string labels = R"(owner="kitchen",pipeline="sheets")";
    for (const char* outcome : { "in_time", "late", "refused", "abandoned" }) {
        checkLine(registry,
            "apricot_requests_total{outcome=\"" + std::string(outcome) + "\"," + labels + "} 1");
    }
    checkLine(registry, "apricot_first_token_seconds_count{" + labels + "} 1");
    checkLine(registry,
        "apricot_refusals_total{" + labels + R"(,ran="not_run",reason="overloaded"} 1)");
    checkLine(registry,
        "apricot_stage_wasted_milliseconds_total{" + labels + R"(,stage="generate"} 40)");
    checkLine(registry, "apricot_stage_attempts_total{" + labels + R"(,stage="generate"} 4)");
}

TEST(RequestMetrics, dispatchGaugesFollowTheStateDump)
{
    MetricRegistry registry;
    setDispatchMetrics(registry,
        boost::json::parse(R"({"control":{"epoch":7,"permission_ms":-3,"is_writer":true},
            "coordinator":{"served":4,"refused":{"overloaded":2}},
            "homes":{"replicas":[{"server":"gen-1","in_flight":3,"cold":false}]}})"));
    checkLine(registry, "apricot_epoch 7");
    checkLine(registry, "apricot_permission_milliseconds -3");
    checkLine(registry, "apricot_is_writer 1");
    checkLine(registry, "apricot_served 4");
    checkLine(registry, R"(apricot_coordinator_refused{reason="overloaded"} 2)");
    checkLine(registry, R"(apricot_replica_in_flight{server="gen-1"} 3)");
    setDispatchMetrics(registry, boost::json::parse(R"({"homes":{"replicas":[]}})"));
    CHECK_TRUE(registry.text().find("gen-1") == std::string::npos);
    setDispatchMetrics(registry, boost::json::parse("[]"));
}
