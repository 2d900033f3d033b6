#include "rolloutload.h"

#include "libserving/rollout/rolloutreport.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <iostream>

using namespace Apricot;

namespace {

// Seeds of each kind in CI; ROLLOUT_SEEDS overrides it by hand.
int seedCount()
{
    const char* const text = std::getenv("ROLLOUT_SEEDS");
    return text ? std::atoi(text) : 12; // NOLINT(cert-err34-c)
}

constexpr double exposureShare = 0.1;
constexpr int exposureTolerance = 50;

struct Tally {
    int reverted = 0;
    int completed = 0;
    double latestEnd = 0;
    // Largest part of the exposure that a played roll-out used, without the tolerance.
    double largestExposure = 0;
    int overExposed = 0;
};

Tally playAll(const PlayedRollout& rollout, const char* name)
{
    Tally tally;
    const int seeds = seedCount();
    for (int seed = 1; seed <= seeds; ++seed) {
        const PlayedOutcome outcome = play(rollout, static_cast<unsigned>(seed));
        tally.reverted += outcome.state == RolloutState::Reverted ? 1 : 0;
        tally.completed += outcome.state == RolloutState::Completed ? 1 : 0;
        tally.latestEnd = std::max(tally.latestEnd, outcome.endedAfterSeconds);
        tally.largestExposure = std::max(tally.largestExposure, outcome.targetRequests / std::max<double>(outcome.requests, 1));
        tally.overExposed += outcome.targetRequests > exposureShare * outcome.requests + exposureTolerance ? 1 : 0;
    }
    if (std::getenv("ROLLOUT_SEEDS"))
        std::cout << name << ": " << seeds << " seeds, reverted " << tally.reverted << ", completed " << tally.completed
                  << ", latest end " << tally.latestEnd << " s, largest share " << tally.largestExposure
                  << ", over the exposure " << tally.overExposed << "\n";
    return tally;
}

PlayedAnswer failing(double share) { return { .failureShare = share }; }
PlayedAnswer slow(double factor) { return { .slowdown = factor }; }

const RolloutOrder order { PoolId("engines"), SoftwareVersion("v2"), Milliseconds(14'000) };

RolloutStatus statusOf(RolloutState state, RolloutPhase phase = RolloutPhase::Trial)
{
    return { .order = order, .state = state, .phase = phase, .replaced = { SoftwareVersion("v1") } };
}

}

TEST_GROUP(Rollout)
{
    PlayedRollout rollout;
    RolloutRouting routing;
    ServerDirectory directory;
    TimePoint now {};

    void setup() override
    {
        routing.setOptions({ .exposureShare = exposureShare });
        for (int index = 0; index < 80; ++index)
            directory.put({ .id = BackendServerId("s" + std::to_string(index)),
                              .pool = order.pool,
                              .softwareVersion = SoftwareVersion(index < 40 ? "v1" : "v2") },
                now);
    }

    // Requests of a thousand that go to the target.
    int targetsOfThousand(TimePoint at) const
    {
        int targets = 0;
        for (int index = 0; index < 1000; ++index) {
            const VersionChoice choice = routing.choiceFor(order.pool, "r" + std::to_string(index), false, at);
            targets += choice == VersionChoice::TargetFirst || choice == VersionChoice::TargetOnly ? 1 : 0;
        }
        return targets;
    }

    std::size_t excludedOf(const std::string& version) const
    {
        std::size_t count = 0;
        for (const BackendServerId& id : routing.excludedServers(directory, nullptr, now))
            count += directory.all().at(id).server.softwareVersion.value() == version ? 1 : 0;
        return count;
    }
};

// Load: 312 requests a second. Guards against reverting a version that serves well, and against missing the limit.
TEST(Rollout, completesAGoodVersionBeforeTheLimit)
{
    const Tally tally = playAll(rollout, "good");
    LONGS_EQUAL(seedCount(), tally.completed);
    CHECK(tally.latestEnd <= 12.5);
}

TEST(Rollout, completesAGoodVersionWhoseServersStartSlowly)
{
    rollout.target = [](double seconds, const std::string&) { return slow(seconds < 4 ? 1.5 : 1.0); };
    LONGS_EQUAL(seedCount(), playAll(rollout, "good, slow start").completed);
}

TEST(Rollout, completesAGoodVersionBesideAnOverloadOfBothVersions)
{
    const auto overloaded = [](double seconds, const std::string&) -> PlayedAnswer {
        return seconds > 1 && seconds < 4 ? PlayedAnswer { 0.3, 2.5 } : PlayedAnswer {};
    };
    rollout.target = overloaded;
    rollout.replaced = overloaded;
    LONGS_EQUAL(seedCount(), playAll(rollout, "good, overload").completed);
}

TEST(Rollout, completesAGoodVersionWhileServersCrashInItsShift)
{
    rollout.target
        = [](double seconds, const std::string&) { return failing(seconds > 9 && seconds < 9.6 ? 0.35 : 0.004); };
    LONGS_EQUAL(seedCount(), playAll(rollout, "good, crash in shift").completed);
}

TEST(Rollout, revertsAVersionThatFailsAtOnce)
{
    rollout.target = [](double, const std::string&) { return failing(0.3); };
    const Tally tally = playAll(rollout, "bad at once");
    LONGS_EQUAL(seedCount(), tally.reverted);
    LONGS_EQUAL(0, tally.overExposed);
}

TEST(Rollout, revertsAVersionThatFailsOnOneRouteOnly)
{
    rollout.target = [](double, const std::string& route) { return failing(route == "chat" ? 0.4 : 0.004); };
    const Tally tally = playAll(rollout, "bad on one route");
    LONGS_EQUAL(seedCount(), tally.reverted);
}

TEST(Rollout, revertsAVersionThatIsSeveralTimesSlower)
{
    rollout.target = [](double, const std::string&) { return slow(4); };
    const Tally tally = playAll(rollout, "slow");
    LONGS_EQUAL(seedCount(), tally.reverted);
    LONGS_EQUAL(0, tally.overExposed);
}

TEST(Rollout, revertsAVersionThatBeginsToFailLater)
{
    rollout.target = [](double seconds, const std::string&) { return failing(seconds > 4 ? 0.4 : 0.004); };
    const Tally tally = playAll(rollout, "bad from 4 s");
    LONGS_EQUAL(seedCount(), tally.reverted);
    LONGS_EQUAL(0, tally.overExposed);
}

TEST(Rollout, revertsAVersionThatBeginsToFailInItsShift)
{
    rollout.target = [](double seconds, const std::string&) { return failing(seconds > 8.5 ? 0.5 : 0.004); };
    LONGS_EQUAL(seedCount(), playAll(rollout, "bad from 8.5 s").reverted);
}

// Guards against a share that each host counts in whole requests: a host may read a request a second.
TEST(Rollout, sendsAShareOfTheRequestsToATargetOnTrial)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 }, 0, now);
    const int targets = targetsOfThousand(now);
    CHECK(targets > 40);
    CHECK(targets < 100);
    CHECK(VersionChoice::ReplacedOnly == routing.choiceFor(order.pool, "r1", true, now));
    LONGS_EQUAL(0, excludedOf("v1"));
    LONGS_EQUAL(38, excludedOf("v2"));
}

TEST(Rollout, sendsAllRequestsToTheTargetAfterTheRamp)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress, RolloutPhase::Shift), .revision = 3 }, 0, now);
    CHECK(targetsOfThousand(now) < 350);
    LONGS_EQUAL(1000, targetsOfThousand(now + Milliseconds(1300)));
    LONGS_EQUAL(0, excludedOf("v2"));
}

TEST(Rollout, keepsRequestsFromAFaultyTargetBeforeTheStoreSaysSo)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 }, 0, now);
    CHECK(routing.recordFault(order, "failures"));
    CHECK(!routing.recordFault(order, "failures"));
    LONGS_EQUAL(40, excludedOf("v2"));
}

// A write of a host that stood still, or an older copy of the store, must not bring a reverted version back.
TEST(Rollout, keepsAFinalState)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::Reverted), .revision = 4 }, 0, now);
    CHECK(!routing.put({ .order = order, .status = statusOf(RolloutState::InProgress, RolloutPhase::Shift), .revision = 5 }, 0, now));
    LONGS_EQUAL(40, excludedOf("v2"));
    CHECK(routing.known().at(order.pool).isStoreBehind);
}

TEST(Rollout, givesAVersionThatWasRevertedAnotherTrialByANewOrder)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::Reverted), .revision = 4 }, 0, now);
    RolloutOrder again = order;
    again.timeLimit += Milliseconds(1000);
    routing.put({ .order = again, .revision = 5 }, 0, now);
    LONGS_EQUAL(38, excludedOf("v2"));
}

TEST(Rollout, servesWithTheReplacedVersionIfACompletedOneHasNoServers)
{
    ServerDirectory old;
    old.put({ .id = BackendServerId("s"), .pool = order.pool, .softwareVersion = SoftwareVersion("v1") }, now);
    routing.put({ .order = order, .status = statusOf(RolloutState::Completed), .revision = 4 }, 0, now);
    LONGS_EQUAL(0, routing.excludedServers(old, nullptr, now).size());
    LONGS_EQUAL(40, excludedOf("v1"));
}

TEST(Rollout, keepsRequestsFromTheTargetOfARemovedOrder)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 }, 0, now);
    routing.remove(order.pool, now);
    LONGS_EQUAL(40, excludedOf("v2"));
}

// Guards against requests that are refused because the order names the only version that there is.
TEST(Rollout, servesWithTheVersionInForceWhileItsOrderIsRecorded)
{
    ServerDirectory sole;
    sole.put({ .id = BackendServerId("s"), .pool = order.pool, .softwareVersion = order.target }, now);
    routing.put({ .order = order, .revision = 1 }, 0, now);
    LONGS_EQUAL(1, routing.select(sole.usable(order.pool, now), order.pool, VersionChoice::ReplacedOnly).size());
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 }, 0, now);
    LONGS_EQUAL(0, routing.select(sole.usable(order.pool, now), order.pool, VersionChoice::ReplacedOnly).size());
}

// Guards against a version that stays out of use although nothing in the store says so any more.
TEST(Rollout, usesReplacedVersionsAgainAfterTheOrderWasRemoved)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::Completed), .revision = 4 }, 0, now);
    LONGS_EQUAL(40, excludedOf("v1"));
    routing.remove(order.pool, now);
    LONGS_EQUAL(0, excludedOf("v1"));
}

TEST(Rollout, countsCallsOfStagesAgainstTheShare)
{
    routing.put({ .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 }, 0, now);
    int targets = 0;
    for (int call = 0; call < 100; ++call) {
        const bool isTarget = routing.mayCall(order.pool, order.target, now);
        targets += isTarget ? 1 : 0;
        routing.onCalled(order.pool, SoftwareVersion(isTarget ? "v2" : "v1"));
    }
    CHECK(targets >= 6);
    CHECK(targets <= 7);
}

TEST(Rollout, endsOrdersThatCannotBeFollowed)
{
    RolloutFacts facts { .stored = { .order = order, .revision = 1 }, .targetServers = 3, .hosts = 1, .reportingHosts = 1 };
    CHECK(RolloutState::Completed == planRollout(facts, 0)->state);
    facts.otherVersions = { SoftwareVersion("v1") };
    CHECK(RolloutState::InProgress == planRollout(facts, 0)->state);
    facts.isPoolKnown = false;
    CHECK(RolloutState::Reverted == planRollout(facts, 0)->state);
    facts.isPoolKnown = true;
    facts.stored.order.timeLimit = Milliseconds(0);
    CHECK(RolloutState::Reverted == planRollout(facts, 0)->state);
}

TEST(Rollout, revertsAnOrderWhoseTargetHasNoServersAtTheLimit)
{
    RolloutFacts facts { .stored = { .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 },
        .elapsed = Milliseconds(9000),
        .otherVersions = { SoftwareVersion("v1") },
        .hosts = 1,
        .reportingHosts = 1 };
    CHECK(!planRollout(facts, 0));
    facts.elapsed = Milliseconds(13'000);
    CHECK(RolloutState::Reverted == planRollout(facts, 0)->state);
}

// A host that is cut off from its peers must not bring a version in with what it saw by itself.
TEST(Rollout, takesNoStepForwardWithoutTheReportsOfHalfOfTheHosts)
{
    RolloutFacts facts { .stored = { .order = order, .status = statusOf(RolloutState::InProgress), .revision = 2 },
        .elapsed = Milliseconds(9000),
        .targetServers = 3,
        .otherVersions = { SoftwareVersion("v1") },
        .hosts = 8,
        .reportingHosts = 3 };
    for (int answer = 0; answer < 60; ++answer)
        facts.evidence.route("r").target.recordSuccess(Milliseconds(20));
    CHECK(!planRollout(facts, 0));
    facts.reportingHosts = 4;
    CHECK(RolloutPhase::Shift == planRollout(facts, 0)->phase);
}

TEST(Rollout, completesOnlyWhenNothingRunsAtReplacedVersions)
{
    RolloutFacts facts { .stored = { .order = order, .status = statusOf(RolloutState::InProgress, RolloutPhase::Shift), .revision = 2 },
        .elapsed = Milliseconds(10'000),
        .sinceShift = Milliseconds(4500),
        .targetServers = 3,
        .otherVersions = { SoftwareVersion("v1") },
        .hosts = 4,
        .reportingHosts = 4,
        .shiftedHosts = 4,
        .inFlightAtReplaced = 1 };
    CHECK(!planRollout(facts, 0));
    facts.inFlightAtReplaced = 0;
    facts.shiftedHosts = 3;
    CHECK(!planRollout(facts, 0));
    facts.shiftedHosts = 4;
    CHECK(RolloutState::Completed == planRollout(facts, 0)->state);
}

TEST(Rollout, readsItsReports)
{
    RolloutReports reports { .host = HostId("h"), .reports = { { .order = order, .shiftedHosts = 1, .inFlightAtReplaced = 2, .fault = "f" } } };
    reports.reports[0].evidence.route("r").target.recordFailure(BackendServerId("s"));
    reports.reports[0].evidence.route("r").replaced.recordSuccess(Milliseconds(30));
    CHECK(reports == readRolloutReports(toJson(reports)));
    const std::vector<RolloutFinding> findings { { order, "f" } };
    CHECK(findings == readRolloutFindings(toJson(findings)));
    CHECK_THROWS(std::exception, readRolloutReports(R"({"host":"h","reports":[{"pool":"p"}]})"));
}
