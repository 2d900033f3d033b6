#include "serving/stageworkload.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
using namespace Apricot::StageWorkload;

TEST_GROUP(StageScheduler)
{
    StageScheduler scheduler { traits };
    TimePoint now {};

    void setup() override { scheduler.setServers({ makeServer("s1", "a") }); }
};

TEST(StageScheduler, batchesPiecesThatWaitForABusyServerIntoOneCall)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto firstCalls = scheduler.planCalls(now);
    LONGS_EQUAL(1, firstCalls.size());
    for (int id = 2; id <= 6; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 2), now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    scheduler.onCallAnswered(firstCalls[0].id, makeDoneResults(firstCalls[0]), now += Milliseconds(221));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    const auto secondCalls = scheduler.planCalls(now);
    LONGS_EQUAL(8, secondCalls.at(0).pieces.size());
}

TEST(StageScheduler, runsRequestsInOrderOfRank)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto firstCalls = scheduler.planCalls(now);
    scheduler.submit(2, makeWork("less", 8, 1), now);
    scheduler.submit(3, makeWork("more", 8, 0), now);
    scheduler.onCallAnswered(firstCalls[0].id, makeDoneResults(firstCalls[0]), now);
    STRCMP_EQUAL("more", scheduler.planCalls(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, runsWorkThatCanMeetItsObjectiveFirst)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto firstCalls = scheduler.planCalls(now);
    StageWork late = makeWork("late", 8, 0);
    late.objectiveSlack = Milliseconds(-1);
    scheduler.submit(2, late, now);
    scheduler.submit(3, makeWork("on time", 8, 2), now);
    scheduler.onCallAnswered(firstCalls[0].id, makeDoneResults(firstCalls[0]), now);
    STRCMP_EQUAL("on time", scheduler.planCalls(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, rejectsWorkThatCannotMeetItsDeadline)
{
    for (int id = 1; id <= 20; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 8), now);
    StageWork work = makeWork("infeasible", 8);
    work.deadlineSlack = Milliseconds(900);
    work.objectiveSlack = Milliseconds(2000);
    const auto rejected = scheduler.submit(99, work, now);
    CHECK(rejected && rejected->outcome == StageWorkOutcome::Overloaded);
    CHECK(rejected->retryAfter >= Milliseconds(100));
}

TEST(StageScheduler, endsWaitingWorkAfterItsLatestStart)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    scheduler.planCalls(now);
    scheduler.submit(2, makeWork("r", 1), now);
    CHECK(scheduler.nextEvent(now).has_value());
    now += Milliseconds(5002);
    const auto ended = scheduler.drainEnded(now);
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].result.outcome == StageWorkOutcome::Late);
}

// At three times the load that the servers can carry, most work cannot be done. It ends long before its
// callers would disconnect.
TEST(StageScheduler, endsWorkEarlyWhenTheBacklogExceedsItsDeadline)
{
    for (std::uint64_t id = 1; id <= 60; ++id) {
        StageWork work = makeWork("r", 8);
        work.objectiveSlack = Milliseconds(600);
        work.isFirst = false;
        scheduler.submit(id, work, now);
    }
    scheduler.planCalls(now);
    now += Milliseconds(601);
    const auto ended = scheduler.drainEnded(now);
    // Calls take 368 ms, so about twelve start before the deadline.
    CHECK(ended.size() > 40 && ended.size() < 55);
    CHECK(ended.front().result.outcome == StageWorkOutcome::Late);
    CHECK(ended.front().result.retryAfter > Milliseconds(1000));
}

TEST(StageScheduler, plansWithLessCapacityAfterAServerWasFull)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    for (std::uint64_t id = 1; id <= 4; ++id)
        scheduler.submit(id, large, now);
    auto calls = scheduler.planCalls(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    for (int round = 0; round < 12; ++round) {
        scheduler.onCallAnswered(calls.at(0).id,
            std::vector<PieceResult>(calls[0].pieces.size(), { PieceOutcome::NoCapacity, "" }), now);
        now += Milliseconds(600);
        calls = scheduler.planCalls(now);
    }
    CHECK(calls.at(0).pieces.size() <= 4);
}

TEST(StageScheduler, plansNoMoreResultsThanAServerHasCapacityFor)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.planCalls(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    const auto results = makeDoneResults(calls[0]);
    scheduler.onCallAnswered(calls[0].id, results, now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    scheduler.onResultReleased(results[0].handle, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).at(0).pieces.size());
}

TEST(StageScheduler, unreleasedResultsFreeTheirCapacityAfterTheirLifetime)
{
    StageWork large = makeWork("large", 10);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.planCalls(now);
    scheduler.onCallAnswered(calls[0].id, makeDoneResults(calls[0]), now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    now += traits.resultLifetime;
    LONGS_EQUAL(5, scheduler.planCalls(now).at(0).pieces.size());
}

TEST(StageScheduler, retriesPiecesOfABrokenCallOnAnotherServer)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto firstCalls = scheduler.planCalls(now);
    scheduler.onCallFailed(firstCalls[0].id, StageCallFailure::Broken, now);
    const auto secondCalls = scheduler.planCalls(now);
    LONGS_EQUAL(2, secondCalls.at(0).pieces.size());
    CHECK(secondCalls[0].server.id != firstCalls[0].server.id);
}

TEST(StageScheduler, failsWorkAfterTheAttemptLimit)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto calls = scheduler.planCalls(now);
        scheduler.onCallFailed(calls.at(0).id, StageCallFailure::Broken, now);
        now += Milliseconds(500);
    }
    const auto ended = scheduler.drainEnded(now);
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].result.outcome == StageWorkOutcome::Failed);
}

// Guards against work that waits until its deadline after its group lost the last server, for example in a
// release. Seen in the incident run trouble-1 of site tabaq-rounds.
TEST(StageScheduler, failsWaitingWorkAtOnceWhenNoServerIsListed)
{
    scheduler.submit(1, makeWork("r1", 8), now);
    const auto calls = scheduler.planCalls(now);
    scheduler.submit(2, makeWork("r2", 1), now);
    scheduler.setServers({});
    auto ended = scheduler.drainEnded(now);
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(2, ended[0].task);
    CHECK(ended[0].result.outcome == StageWorkOutcome::Failed);
    scheduler.onCallAnswered(calls[0].id, makeDoneResults(calls[0]), now);
    ended = scheduler.drainEnded(now);
    CHECK(ended.at(0).result.outcome == StageWorkOutcome::Done);
}

TEST(StageScheduler, resultsOfCancelledWorkAreUnclaimed)
{
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto calls = scheduler.planCalls(now);
    scheduler.cancel(1);
    scheduler.onCallAnswered(calls[0].id, makeDoneResults(calls[0]), now);
    LONGS_EQUAL(2, scheduler.drainUnclaimedResults().size());
    CHECK(scheduler.drainEnded(now).empty());
}

TEST(StageScheduler, waitsABoundedTimeForAServerInThePreferredDomain)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("blocker", 1), now);
    const auto blockerCalls = scheduler.planCalls(now);
    const FailureDomainId busyDomain = blockerCalls.at(0).server.domain;
    StageWork work = makeWork("r", 4);
    work.preferredDomain = busyDomain;
    work.crossDomainBytes = 4e6;
    scheduler.submit(2, work, now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    now += Milliseconds(300);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
}

TEST(StageScheduler, doesNotWaitForAPreferredDomainWithoutServers)
{
    StageWork work = makeWork("r", 4);
    work.preferredDomain = FailureDomainId("gone");
    work.crossDomainBytes = 4e6;
    scheduler.submit(1, work, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
}

TEST(StageScheduler, probesASlowServerOncePerInterval)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 1), now);
    auto calls = scheduler.planCalls(now);
    const BackendServerId slowServer = calls[0].server.id;
    scheduler.onCallAnswered(calls[0].id, makeDoneResults(calls[0]), now += Milliseconds(1400));
    scheduler.submit(2, makeWork("r2", 8), now);
    calls = scheduler.planCalls(now);
    LONGS_EQUAL(1, calls.size());
    CHECK(calls[0].server.id != slowServer);
    scheduler.submit(3, makeWork("r3", 8), now);
    now += Milliseconds(2000);
    calls = scheduler.planCalls(now);
    LONGS_EQUAL(1, calls.at(0).pieces.size());
    CHECK(calls[0].server.id == slowServer);
}

// Guards against calls to slow servers that delay all their pieces until the call times out. Seen in the
// incident run trouble-2 of site grantwatch-pnw, with two slow servers of five.
TEST(StageScheduler, runsPiecesOfAnOverdueCallOnAnotherServer)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto slowCalls = scheduler.planCalls(now);
    LONGS_EQUAL(0, scheduler.planCalls(now += Milliseconds(300)).size());
    now = *scheduler.nextEvent(now);
    const auto retriedCalls = scheduler.planCalls(now);
    LONGS_EQUAL(2, retriedCalls.at(0).pieces.size());
    CHECK(retriedCalls[0].server.id != slowCalls[0].server.id);
    scheduler.onCallAnswered(retriedCalls[0].id, makeDoneResults(retriedCalls[0]), now += Milliseconds(242));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    // The results of the slow server are no longer needed.
    scheduler.onCallAnswered(slowCalls[0].id, makeDoneResults(slowCalls[0]), now += Milliseconds(500));
    LONGS_EQUAL(2, scheduler.drainUnclaimedResults().size());
}

TEST(StageScheduler, usesTheResultOfAnOverdueCallThatRespondsFirst)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto slowCalls = scheduler.planCalls(now);
    now = *scheduler.nextEvent(now);
    const auto retriedCalls = scheduler.planCalls(now);
    LONGS_EQUAL(1, retriedCalls.size());
    scheduler.onCallAnswered(slowCalls[0].id, makeDoneResults(slowCalls[0]), now += Milliseconds(10));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    scheduler.onCallAnswered(retriedCalls[0].id, makeDoneResults(retriedCalls[0]), now += Milliseconds(200));
    LONGS_EQUAL(1, scheduler.drainUnclaimedResults().size());
    CHECK(scheduler.drainEnded(now).empty());
}

TEST(StageScheduler, aServerThatTimesOutCountsAsSlow)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto calls = scheduler.planCalls(now);
    now += calls.at(0).timeout;
    scheduler.onCallFailed(calls[0].id, StageCallFailure::TimedOut, now);
    now += Milliseconds(400);
    scheduler.submit(2, makeWork("r2", 8), now);
    scheduler.submit(3, makeWork("r3", 8), now);
    for (const PlannedCall& call : scheduler.planCalls(now))
        CHECK(call.server.id != calls[0].server.id);
}

TEST(StageScheduler, probesASlowServerWithTheLeastUrgentPiece)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    auto calls = scheduler.planCalls(now);
    scheduler.onCallAnswered(calls.at(0).id, makeDoneResults(calls[0]), now += Milliseconds(1400));
    now += Milliseconds(2000);
    scheduler.submit(2, makeWork("urgent", 4, 0), now);
    scheduler.submit(3, makeWork("less", 4, 2), now);
    calls = scheduler.planCalls(now);
    STRCMP_EQUAL("less", calls.at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, piecesRefusedForLackOfCapacityDoNotFailTheirWork)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    for (int call = 0; call < 10; ++call) {
        const auto calls = scheduler.planCalls(now);
        scheduler.onCallAnswered(calls.at(0).id, { { PieceOutcome::NoCapacity, "" } }, now);
        now += Milliseconds(1000);
        if (call < 4)
            CHECK(scheduler.drainEnded(now).empty());
        if (now > TimePoint() + Milliseconds(5000))
            break;
    }
    CHECK(scheduler.drainEnded(now).at(0).result.outcome == StageWorkOutcome::Late);
}

TEST(StageScheduler, endsRunningWorkThatCannotMeetItsDeadline)
{
    StageWork work = makeWork("r1", 1);
    work.deadlineSlack = Milliseconds(100);
    scheduler.submit(1, work, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
    // The last result must be available one full call (368 ms) after the latest start.
    CHECK(scheduler.drainEnded(now + Milliseconds(460)).empty());
    CHECK(scheduler.drainEnded(now + Milliseconds(480)).at(0).result.outcome == StageWorkOutcome::Late);
}

TEST(StageScheduler, handsOverUnstartedWorkWhenTheHomeStops)
{
    scheduler.submit(1, makeWork("begun", 8), now);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
    scheduler.submit(2, makeWork("waiting", 8), now);
    scheduler.handOverWaiting();
    const auto ended = scheduler.drainEnded(now);
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(2, ended[0].task);
    CHECK(ended[0].result.outcome == StageWorkOutcome::HandedOver);
}

// Large results exhaust the result capacity of the servers before calls reach their batch limit. Work that
// would wait too long for capacity is rejected on arrival.
TEST(StageScheduler, rejectsWorkWhenTheBacklogExceedsTheResultCapacity)
{
    StageWork large = makeWork("large", 1);
    large.resultBytes = 3e6;
    large.isFirst = false;
    for (std::uint64_t id = 1; id <= 40; ++id)
        scheduler.submit(id, large, now);
    scheduler.planCalls(now);
    large.isFirst = true;
    large.deadlineSlack = Milliseconds(3000);
    const auto rejected = scheduler.submit(99, large, now);
    CHECK(rejected && rejected->outcome == StageWorkOutcome::Overloaded);
    CHECK(scheduler.backlog(now).at(0).wait > Milliseconds(3000));
}
