#include "property.h"
#include "requestcluster.h"

#include <algorithm>

using namespace Apricot;

namespace {

constexpr std::size_t hosts = 4;
constexpr int steps = 3000;

const std::string uuidKey = "01890a5d-ac96-774b-bcce-b302099a8057";

unsigned drawSeed() { return *rc::gen::inRange(0U, 1'000'000U); }

void runToTheEnd(RequestCluster& cluster)
{
    cluster.run(steps);
    cluster.heal();
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

void assertPromises(const RequestCluster& cluster)
{
    for (const std::string& violation : cluster.violations())
        RC_FAIL(violation);
}

std::size_t runsOf(const RequestCluster& cluster, const std::string& key, std::uint32_t stage)
{
    return static_cast<std::size_t>(std::count_if(
        cluster.runs().begin(), cluster.runs().end(), [&](const BackendRun& run) {
            return run.attempt.key.value() == key && run.attempt.stage == stage;
        }));
}

}

TEST_GROUP(RequestProperty) {};

TEST(RequestProperty, undisturbedRequestsRunEachStageOnce)
{
    checkProperty("undisturbed", [] {
        RequestCluster cluster(drawSeed(), hosts, {});
        cluster.addCaller("one", "soup");
        cluster.addCaller("one", "soup");
        cluster.addCaller("two", "bread");
        cluster.run(steps);
        assertPromises(cluster);
        for (std::size_t index = 0; index < cluster.callerCount(); ++index)
            RC_ASSERT(cluster.caller(index).completed);
        RC_ASSERT(runsOf(cluster, "one", 0) == 1U);
        RC_ASSERT(runsOf(cluster, "one", 1) == 1U);
    });
}

TEST(RequestProperty, everyCallerGetsItsWholeAnswerInOrder)
{
    checkProperty("whole answers", [] {
        RequestCluster cluster(drawSeed(), hosts,
            { .kill = 1,
                .freeze = 1,
                .callerCut = 3,
                .attemptFailure = 20,
                .rejection = 10,
                .duplicate = 30 });
        for (int index = 0; index < 4; ++index) {
            const std::string input = "meal " + std::to_string(index);
            cluster.addCaller("key " + std::to_string(index), input);
            cluster.addCaller("key " + std::to_string(index), input);
        }
        runToTheEnd(cluster);
        assertPromises(cluster);
        for (std::size_t index = 0; index < cluster.callerCount(); ++index) {
            RC_ASSERT(cluster.caller(index).completed);
        }
    });
}

TEST(RequestProperty, finishedStagesAreNotRunAgainAfterTheCoordinatorIsKilled)
{
    checkProperty("no stage result lost", [] {
        RequestCluster cluster(drawSeed(), hosts, {});
        cluster.addCaller("one", "soup");
        int step = 0;
        while (runsOf(cluster, "one", 1) == 0 && step++ < steps)
            cluster.run(1);
        cluster.killHome(0);
        cluster.run(steps);
        assertPromises(cluster);
        RC_ASSERT(cluster.caller(0).completed);
        RC_ASSERT(runsOf(cluster, "one", 0) == 1U);
    });
}

TEST(RequestProperty, notRunIsTrue)
{
    checkProperty("not run", [] {
        RequestCluster cluster(drawSeed(), hosts,
            { .kill = *rc::gen::inRange(0, 3),
                .freeze = *rc::gen::inRange(0, 3),
                .callerCut = 2,
                .attemptFailure = 40,
                .rejection = *rc::gen::element(90, 95, 100),
                .rejectingHosts = *rc::gen::element<std::size_t>(2, 3, hosts),
                .duplicate = 10 });
        for (int index = 0; index < 8; ++index)
            cluster.addCaller("key " + std::to_string(index), "meal");
        cluster.run(steps);
        bool saidNotRun = false;
        for (std::size_t index = 0; index < cluster.callerCount(); ++index) {
            const std::optional<Refusal>& refusal = cluster.caller(index).refusal;
            saidNotRun = saidNotRun || (refusal && refusal->ran == RanState::NotRun);
            if (refusal)
                cluster.askAgain(index);
        }
        cluster.run(steps);
        assertPromises(cluster);
        RC_CLASSIFY(saidNotRun, "not run was said"); });
}

TEST(RequestProperty, nonIdempotentStagesRunAtMostOnce)
{
    checkProperty("at most once", [] {
        RequestCluster cluster(drawSeed(), hosts,
            { .kill = 1,
                .freeze = 2,
                .callerCut = 3,
                .attemptFailure = 20,
                .rejection = 10,
                .duplicate = 20,
                .platformLoss = 30 });
        cluster.entry.stages.insert(cluster.entry.stages.begin() + 1,
            { .name = "charge", .kind = StageKind::Call, .idempotent = false });
        cluster.addCaller(uuidKey, "soup");
        cluster.addCaller(uuidKey, "soup");
        runToTheEnd(cluster);
        assertPromises(cluster);
        RC_ASSERT(runsOf(cluster, uuidKey, 1) <= 1U);
        RC_CLASSIFY(runsOf(cluster, uuidKey, 1) == 1U, "charged");
        RC_CLASSIFY(cluster.caller(0).completed, "completed");
    });
}

TEST(RequestProperty, anOutageOfThePlatformRefusesWithTruth)
{
    checkProperty("outage", [] {
        RequestCluster cluster(drawSeed(), hosts, { .platformDown = true });
        cluster.entry.stages = { { .name = "charge", .kind = StageKind::Call, .idempotent = false } };
        cluster.addCaller(uuidKey, "soup");
        cluster.run(steps);
        RC_ASSERT(cluster.caller(0).refusal.has_value());
        RC_ASSERT(cluster.caller(0).refusal->reason == RefusalReason::PlatformUnavailable);
        RC_ASSERT(cluster.caller(0).refusal->ran == RanState::NotRun);
        RC_ASSERT(cluster.caller(0).refusal->retryAfter > Milliseconds(0));
        RC_ASSERT(cluster.runs().empty());
        runToTheEnd(cluster);
        RC_ASSERT(cluster.caller(0).completed);
        RC_ASSERT(runsOf(cluster, uuidKey, 0) == 1U);
    });
}
