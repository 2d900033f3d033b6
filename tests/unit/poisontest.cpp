#include "property.h"
#include "requestcluster.h"

#include <algorithm>
#include <set>

using namespace Apricot;

namespace {

ServerCrash crashOf(int server, int stage = ServerCrash::requestStage)
{
    return { BackendServerId("s" + std::to_string(server)), server, stage };
}

// Returns whether the crash is news for the other hosts.
bool recordCrash(PoisonTable& table, Fingerprint request, const ServerCrash& crash, TimePoint now)
{
    return !table.recordCrash({ { request } }, crash, false, now).empty();
}

// Returns whether the finish matters to the other hosts.
bool recordFinish(PoisonTable& table, Fingerprint request, int stage, TimePoint now)
{
    return !table.recordFinish({ { request } }, stage, now).empty();
}

bool mayRun(const PoisonTable& table, Fingerprint request, bool isProbation, int earlierRuns, TimePoint now)
{
    const std::vector<PoisonSubject> subjects { { request } };
    return table.mayRun(
        subjects, isProbation ? subjects : std::vector<PoisonSubject>(), earlierRuns, now);
}

}

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

TEST(Poison, aRequestIsRefusedAfterThreeCrashedServers)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    CHECK_TRUE(recordCrash(table, 1, crashOf(1), now));
    CHECK_FALSE(table.stateOf(1, now).has_value());
    // The same crash may be detected more than once.
    CHECK_FALSE(recordCrash(table, 1, crashOf(1), now));
    recordCrash(table, 1, crashOf(2), now);
    CHECK_TRUE(table.stateOf(1, now) == PoisonState::Suspect);
    recordCrash(table, 1, crashOf(3), now);
    CHECK_TRUE(table.isRefused(1, now));
    CHECK_FALSE(table.isRefused(2, now));
}

TEST(Poison, aSuspectRunsOnceInAnAttempt)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    recordCrash(table, 1, crashOf(1), now);
    CHECK_TRUE(mayRun(table, 1, false, 1, now));
    recordCrash(table, 1, crashOf(2), now);
    CHECK_TRUE(mayRun(table, 1, false, 0, now));
    CHECK_FALSE(mayRun(table, 1, false, 1, now));
    recordCrash(table, 1, crashOf(3), now);
    CHECK_FALSE(mayRun(table, 1, false, 0, now));
    CHECK_TRUE(mayRun(table, 1, true, 0, now));
    CHECK_FALSE(mayRun(table, 1, true, 1, now));
}

TEST(Poison, aRefusedRequestHasOneProbationRunOnAllHosts)
{
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    for (int server = 0; server < 3; ++server)
        recordCrash(table, 1, crashOf(server), now);
    CHECK_FALSE(table.canStartProbation({ { 1 } }, now));
    now += PoisonTableOptions {}.probationDelay;
    CHECK_TRUE(table.canStartProbation({ { 1 } }, now));
    table.startProbation({ { 1 } }, now);
    CHECK_FALSE(table.canStartProbation({ { 1 } }, now));
    LONGS_EQUAL(3, table.crashCount(1, now));
    PoisonTable other;
    other.apply(*table.noticeOf(1, now), now);
    CHECK_FALSE(other.canStartProbation({ { 1 } }, now + PoisonTableOptions {}.probationDelay));
    CHECK_TRUE(other.isRefused(1, now));
    CHECK_TRUE(recordFinish(table, 1, ServerCrash::requestStage, now));
    CHECK_FALSE(table.isRefused(1, now));
}

// Guards against a request that stays refused because its probation ended without a result, such as with its caller.
TEST(Poison, aProbationThatProvedNothingIsRepeatedOnce)
{
    const PoisonTableOptions options;
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    for (int server = 0; server < 3; ++server)
        recordCrash(table, 1, crashOf(server), now);
    for (const Milliseconds delay : { options.probationDelay, options.secondProbationDelay }) {
        now += delay - Milliseconds(1);
        CHECK_FALSE(table.canStartProbation({ { 1 } }, now));
        now += Milliseconds(1);
        CHECK_TRUE(table.canStartProbation({ { 1 } }, now));
        table.startProbation({ { 1 } }, now);
    }
    CHECK_FALSE(table.canStartProbation({ { 1 } }, now + 2 * options.secondProbationDelay));
}

TEST(Poison, aProbationThatEndedAServerIsNotRepeated)
{
    const PoisonTableOptions options;
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    for (int server = 0; server < 3; ++server)
        recordCrash(table, 1, crashOf(server), now);
    now += options.probationDelay;
    table.startProbation({ { 1 } }, now);
    recordCrash(table, 1, crashOf(3), now + Milliseconds(100));
    CHECK_FALSE(table.canStartProbation({ { 1 } }, now + 2 * options.secondProbationDelay));
}

// Guards against refusing ordinary requests that are in flight whenever servers crash: a request that has
// finished since does not crash its servers.
TEST(Poison, aRequestThatFinishesBetweenCrashesIsNeverRefused)
{
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    for (int server = 0; server < 20; ++server) {
        now += Milliseconds(100);
        recordCrash(table, 1, crashOf(server), now);
        CHECK_FALSE(table.isRefused(1, now));
        if (server % 2 == 1)
            CHECK_TRUE(recordFinish(table, 1, ServerCrash::requestStage, now));
    }
}

TEST(Poison, aFinishedStageDoesNotClearCrashesElsewhere)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table;
    recordCrash(table, 1, crashOf(1), now);
    recordCrash(table, 1, crashOf(2), now);
    recordCrash(table, 1, crashOf(3, 0), now);
    CHECK_TRUE(table.isRefused(1, now));
    recordFinish(table, 1, 0, now);
    LONGS_EQUAL(2, table.crashCount(1, now));
}

TEST(Poison, aNoticeThatIsReadAgainDoesNotExtendARefusal)
{
    const TimePoint now { std::chrono::hours(1) };
    PoisonTable table({ .refusedLifetime = Milliseconds(1000) });
    const PoisonNotice notice { .fingerprint = 1,
        .remaining = Milliseconds(1000),
        .crashes = { crashOf(1), crashOf(2), crashOf(3) } };
    table.apply(notice, now);
    table.apply(notice, now + Milliseconds(900));
    CHECK_TRUE(table.isRefused(1, now + Milliseconds(999)));
    CHECK_FALSE(table.isRefused(1, now + Milliseconds(1000)));
}

TEST(Poison, aTableIsBounded)
{
    TimePoint now { std::chrono::hours(1) };
    PoisonTable table({ .maxEntries = 8 });
    for (int index = 0; index < 100; ++index) {
        now += Milliseconds(1);
        recordCrash(table, static_cast<Fingerprint>(index), crashOf(index), now);
        CHECK_TRUE(table.size() <= 8);
    }
    LONGS_EQUAL(1, table.crashCount(99, now));
}

TEST(Poison, hostsThatReceiveTheSameNoticesInAnyOrderAgree)
{
    checkProperty("the order and repetition of notices does not matter", [] {
        const TimePoint now { std::chrono::hours(1) };
        std::vector<PoisonNotice> notices;
        const int count = *rc::gen::inRange(1, 8);
        for (int index = 0; index < count; ++index) {
            PoisonNotice notice { .fingerprint = 1, .remaining = Milliseconds(1000) };
            notice.crashes.push_back(crashOf(*rc::gen::inRange(0, 5)));
            if (*rc::gen::inRange(0, 3) == 0)
                notice.cleared.push_back(crashOf(*rc::gen::inRange(0, 5)));
            notices.push_back(notice);
        }
        PoisonTable first;
        for (const PoisonNotice& notice : notices)
            first.apply(notice, now);
        std::vector<PoisonNotice> shuffled = notices;
        shuffled.push_back(notices[static_cast<std::size_t>(*rc::gen::inRange(0, count))]);
        for (std::size_t index = shuffled.size() - 1; index > 0; --index)
            std::swap(shuffled[index],
                shuffled[static_cast<std::size_t>(*rc::gen::inRange(0, static_cast<int>(index) + 1))]);
        PoisonTable second;
        for (const PoisonNotice& notice : shuffled)
            second.apply(notice, now);
        RC_ASSERT(first.crashCount(1, now) == second.crashCount(1, now));
        RC_ASSERT(first.stateOf(1, now) == second.stateOf(1, now));
    });
}
