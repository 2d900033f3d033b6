#include "property.h"
#include "requestcluster.h"

#include <algorithm>
#include <set>

using namespace Apricot;

TEST_GROUP(Poison) {};

TEST(Poison, aPoisonedRequestCrashesAtMostTwoServersAndOthersComplete)
{
    checkProperty("a poisoned request is refused after two crashes, and all others complete", [] {
        const unsigned seed = *rc::gen::inRange(0U, 1'000'000U);
        RequestCluster cluster(seed, 4, { .poison = "gristle" });
        cluster.addCaller("bad", "gristle");
        for (int index = 0; index < 8; ++index) {
            const std::string name = "good " + std::to_string(index);
            cluster.addCaller(name, name);
        }
        cluster.run(4000);
        // The input is submitted again, under a new key and under the old one.
        const std::size_t resubmitted = cluster.addCaller("bad again", "gristle");
        cluster.askAgain(0);
        cluster.run(4000);
        RC_ASSERT(cluster.violations().empty());
        for (const std::size_t index : { std::size_t { 0 }, resubmitted }) {
            RC_ASSERT(cluster.caller(index).refusal.has_value());
            RC_ASSERT(cluster.caller(index).refusal->reason == RefusalReason::Poisoned);
            RC_ASSERT(cluster.caller(index).refusal->retryAfter > Milliseconds(0));
        }
        for (std::size_t index = 1; index < 9; ++index)
            RC_ASSERT(cluster.caller(index).completed);
        const auto crashes = std::count_if(cluster.runs().begin(), cluster.runs().end(),
            [](const BackendRun& run) { return run.crashed; });
        RC_ASSERT(crashes == 2);
    });
}

TEST(Poison, crashesBesideOtherRunsLeaveAFingerprintSuspect)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    LONGS_EQUAL(static_cast<int>(PoisonState::Suspect),
        static_cast<int>(table.recordCrash(1, false, now).state));
    LONGS_EQUAL(static_cast<int>(PoisonState::Suspect),
        static_cast<int>(table.recordCrash(1, false, now).state));
    CHECK_TRUE(table.recordFinish(1, now));
    CHECK_FALSE(table.stateOf(1, now).has_value());
}

TEST(Poison, aRefusedFingerprintExpiresAfterItsLifetime)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table({ .refusedLifetime = Milliseconds(1000) });
    table.recordCrash(1, true, now);
    CHECK_TRUE(table.stateOf(1, now) == PoisonState::Refused);
    table.apply({ .fingerprint = 1, .remaining = Milliseconds(500) }, now);
    CHECK_TRUE(table.stateOf(1, now + Milliseconds(999)) == PoisonState::Refused);
    CHECK_FALSE(table.stateOf(1, now + Milliseconds(1000)).has_value());
}
