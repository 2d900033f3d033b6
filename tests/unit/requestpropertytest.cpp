#include "property.h"
#include "requestcluster.h"

#include <algorithm>

using namespace Apricot;

namespace {

constexpr std::size_t hostCount = 4;
constexpr int steps = 3000;

const std::string uuidKey = "01890a5d-ac96-774b-bcce-b302099a8057";

unsigned drawSeed() { return *rc::gen::inRange(0U, 1'000'000U); }

void runUntilFinished(RequestCluster& cluster)
{
    cluster.run(steps);
    cluster.clearFaults();
    for (int round = 0; round < 20; ++round) {
        bool refused = false;
        for (std::size_t index = 0; index < cluster.callerCount(); ++index) {
            const std::optional<Refusal>& refusal = cluster.caller(index).refusal;
            if (!refusal || refusal->reason == RefusalReason::OutcomeUnknown)
                continue;
            refused = true;
            cluster.askAgain(index);
        }
        cluster.run(steps);
        if (!refused)
            return;
    }
}

void assertNoViolations(const RequestCluster& cluster)
{
    for (const std::string& violation : cluster.violations())
        RC_FAIL(violation);
}

std::size_t runCount(const RequestCluster& cluster, const std::string& key, std::uint32_t stage)
{
    return static_cast<std::size_t>(std::count_if(
        cluster.runs().begin(), cluster.runs().end(), [&](const BackendRun& run) {
            return run.attempt.key.value() == key && run.attempt.stage == stage;
        }));
}

}

TEST_GROUP(RequestProperty) {};

TEST(RequestProperty, requestsWithoutFaultsRunEachStageOnce)
{
    checkProperty("no faults", [] {
        RequestCluster cluster(drawSeed(), hostCount, {});
        cluster.addCaller("one", "soup");
        cluster.addCaller("one", "soup");
        cluster.addCaller("two", "bread");
        cluster.run(steps);
        assertNoViolations(cluster);
        for (std::size_t index = 0; index < cluster.callerCount(); ++index)
            RC_ASSERT(cluster.caller(index).completed);
        RC_ASSERT(runCount(cluster, "one", 0) == 1U);
        RC_ASSERT(runCount(cluster, "one", 1) == 1U);
    });
}

TEST(RequestProperty, everyCallerGetsItsCompleteResponseInOrder)
{
    checkProperty("complete responses", [] {
        RequestCluster cluster(drawSeed(), hostCount,
            { .kill = 1,
                .freeze = 1,
                .callerDisconnect = 3,
                .attemptFailure = 20,
                .rejection = 10,
                .duplicate = 30 });
        for (int index = 0; index < 4; ++index) {
            const std::string input = "meal " + std::to_string(index);
            cluster.addCaller("key " + std::to_string(index), input);
            cluster.addCaller("key " + std::to_string(index), input);
        }
        runUntilFinished(cluster);
        assertNoViolations(cluster);
        for (std::size_t index = 0; index < cluster.callerCount(); ++index) {
            RC_ASSERT(cluster.caller(index).completed);
        }
    });
}

TEST(RequestProperty, finishedStagesAreNotRepeatedAfterTheCoordinatorIsKilled)
{
    checkProperty("no stage result is lost", [] {
        RequestCluster cluster(drawSeed(), hostCount, {});
        cluster.addCaller("one", "soup");
        int step = 0;
        while (runCount(cluster, "one", 1) == 0 && step++ < steps)
            cluster.run(1);
        cluster.killCoordinator(0);
        cluster.run(steps);
        assertNoViolations(cluster);
        RC_ASSERT(cluster.caller(0).completed);
        RC_ASSERT(runCount(cluster, "one", 0) == 1U);
    });
}

TEST(RequestProperty, aKeyReportedAsNotRunHasNotRun)
{
    checkProperty("not_run is reported correctly", [] {
        RequestCluster cluster(drawSeed(), hostCount,
            { .kill = *rc::gen::inRange(0, 3),
                .freeze = *rc::gen::inRange(0, 3),
                .callerDisconnect = 2,
                .attemptFailure = 40,
                .rejection = *rc::gen::element(90, 95, 100),
                .rejectingHostCount = *rc::gen::element<std::size_t>(2, 3, hostCount),
                .duplicate = 10 });
        for (int index = 0; index < 8; ++index)
            cluster.addCaller("key " + std::to_string(index), "meal");
        cluster.run(steps);
        bool isNotRunReported = false;
        for (std::size_t index = 0; index < cluster.callerCount(); ++index) {
            const std::optional<Refusal>& refusal = cluster.caller(index).refusal;
            isNotRunReported = isNotRunReported || (refusal && refusal->ran == RanState::NotRun);
            if (refusal)
                cluster.askAgain(index);
        }
        cluster.run(steps);
        assertNoViolations(cluster);
        RC_CLASSIFY(isNotRunReported, "not_run reported"); });
}

TEST(RequestProperty, nonIdempotentStagesRunAtMostOnce)
{
    checkProperty("non-idempotent stages run at most once", [] {
        RequestCluster cluster(drawSeed(), hostCount,
            { .kill = 1,
                .freeze = 2,
                .callerDisconnect = 3,
                .attemptFailure = 20,
                .rejection = 10,
                .duplicate = 20,
                .claimResponseLoss = 30 });
        cluster.entry.stages.insert(cluster.entry.stages.begin() + 1,
            { .name = "charge", .kind = StageKind::Call, .idempotent = false });
        cluster.addCaller(uuidKey, "soup");
        cluster.addCaller(uuidKey, "soup");
        runUntilFinished(cluster);
        assertNoViolations(cluster);
        RC_ASSERT(runCount(cluster, uuidKey, 1) <= 1U);
        RC_CLASSIFY(runCount(cluster, uuidKey, 1) == 1U, "charged");
        RC_CLASSIFY(cluster.caller(0).completed, "completed");
    });
}

TEST(RequestProperty, aPlatformOutageIsRefusedAsNotRun)
{
    checkProperty("platform outage", [] {
        RequestCluster cluster(drawSeed(), hostCount, { .platformDown = true });
        cluster.entry.stages = { { .name = "charge", .kind = StageKind::Call, .idempotent = false } };
        cluster.addCaller(uuidKey, "soup");
        cluster.run(steps);
        RC_ASSERT(cluster.caller(0).refusal.has_value());
        RC_ASSERT(cluster.caller(0).refusal->reason == RefusalReason::PlatformUnavailable);
        RC_ASSERT(cluster.caller(0).refusal->ran == RanState::NotRun);
        RC_ASSERT(cluster.caller(0).refusal->retryAfter > Milliseconds(0));
        RC_ASSERT(cluster.runs().empty());
        runUntilFinished(cluster);
        RC_ASSERT(cluster.caller(0).completed);
        RC_ASSERT(runCount(cluster, uuidKey, 0) == 1U);
    });
}
