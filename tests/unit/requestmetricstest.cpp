#include "property.h"

#include "libapricot/dispatchmetrics.h"
#include "libapricot/requestmetrics.h"

#include <boost/json/parse.hpp>

using namespace Apricot;

namespace {

CatalogueEntry sheetsEntry()
{
    CatalogueEntry entry;
    entry.name = PipelineId("sheets");
    entry.owner = OwnerId("kitchen");
    return entry;
}

void checkHasLine(const MetricRegistry& registry, const std::string& line)
{
    CHECK_TRUE_TEXT(registry.text().find(line + "\n") != std::string::npos, line.c_str());
}

}

TEST_GROUP(RequestMetrics) {};

TEST(RequestMetrics, outcomesAndStageCostsAreCounted)
{
    MetricRegistry registry;
    RequestMetrics metrics(registry);
    const std::vector<StageCost> costs { { .stage = "generate",
        .busy = Milliseconds(70),
        .wasted = Milliseconds(20),
        .tokens = 9,
        .attempts = 2 } };
    const Milliseconds deadline(1000);
    metrics.recordCompleted(
        sheetsEntry(), { Milliseconds(1000), Milliseconds(40), deadline }, costs);
    metrics.recordCompleted(sheetsEntry(), { Milliseconds(1001), std::nullopt, deadline }, costs);
    metrics.recordRefused(sheetsEntry(),
        { .reason = RefusalReason::Overloaded, .ran = RanState::NotRun });
    metrics.recordAbandoned(sheetsEntry());
    const std::string labels = R"(owner="kitchen",pipeline="sheets")";
    for (const char* outcome : { "in_time", "late", "refused", "abandoned" }) {
        checkHasLine(registry,
            "apricot_requests_total{outcome=\"" + std::string(outcome) + "\"," + labels + "} 1");
    }
    checkHasLine(registry, "apricot_first_token_seconds_count{" + labels + "} 1");
    checkHasLine(registry,
        "apricot_refusals_total{" + labels + R"(,ran="not_run",reason="overloaded"} 1)");
    checkHasLine(registry,
        "apricot_stage_wasted_milliseconds_total{" + labels + R"(,stage="generate"} 40)");
    checkHasLine(registry, "apricot_stage_attempts_total{" + labels + R"(,stage="generate"} 4)");
}

TEST(RequestMetrics, dispatchGaugesMatchTheStateDump)
{
    MetricRegistry registry;
    setDispatchMetrics(registry,
        boost::json::parse(R"({"control":{"epoch":7,"permission_ms":-3,"is_writer":true},
            "coordinator":{"served":4,"refused":{"overloaded":2}},
            "homes":{"replicas":[{"server":"gen-1","in_flight":3,"cold":false}]}})"));
    checkHasLine(registry, "apricot_epoch 7");
    checkHasLine(registry, "apricot_permission_milliseconds -3");
    checkHasLine(registry, "apricot_is_writer 1");
    checkHasLine(registry, "apricot_served 4");
    checkHasLine(registry, R"(apricot_coordinator_refused{reason="overloaded"} 2)");
    checkHasLine(registry, R"(apricot_replica_in_flight{server="gen-1"} 3)");
    setDispatchMetrics(registry, boost::json::parse(R"({"homes":{"replicas":[]}})"));
    CHECK_TRUE(registry.text().find("gen-1") == std::string::npos);
    setDispatchMetrics(registry, boost::json::parse("[]"));
}
