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

TEST(StageScheduler, gathersWhatWaitsWhileTheServerIsBusyIntoOneCall)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto first = scheduler.planCalls(now);
    LONGS_EQUAL(1, first.size());
    for (int id = 2; id <= 6; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 2), now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    scheduler.onCallAnswered(first[0].id, allDone(first[0]), now += Milliseconds(221));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    const auto second = scheduler.planCalls(now);
    LONGS_EQUAL(8, second.at(0).pieces.size());
}

TEST(StageScheduler, moreUrgentRequestsGoFirst)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto first = scheduler.planCalls(now);
    scheduler.submit(2, makeWork("less", 8, 1), now);
    scheduler.submit(3, makeWork("more", 8, 0), now);
    scheduler.onCallAnswered(first[0].id, allDone(first[0]), now);
    STRCMP_EQUAL("more", scheduler.planCalls(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, whatCanMeetItsObjectiveGoesBeforeWhatCannot)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto first = scheduler.planCalls(now);
    StageWork late = makeWork("late", 8, 0);
    late.objectiveSlack = Milliseconds(-1);
    scheduler.submit(2, late, now);
    scheduler.submit(3, makeWork("on time", 8, 2), now);
    scheduler.onCallAnswered(first[0].id, allDone(first[0]), now);
    STRCMP_EQUAL("on time", scheduler.planCalls(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, workThatCannotBeDoneInTimeIsTurnedAwayAtOnce)
{
    for (int id = 1; id <= 20; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 8), now);
    StageWork work = makeWork("hopeless", 8);
    work.deadlineSlack = Milliseconds(900);
    work.objectiveSlack = Milliseconds(2000);
    const auto refused = scheduler.submit(99, work, now);
    CHECK(refused && refused->outcome == StageWorkOutcome::Overloaded);
    CHECK(refused->retryAfter >= Milliseconds(100));
}

TEST(StageScheduler, waitingWorkEndsOnceItIsTooLateToBegin)
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

// At three times what the servers bear, most can't be served: they learn it long before their callers
// would leave.
TEST(StageScheduler, workThatTheBacklogLeavesNoTimeIsEndedEarly)
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
    // Calls of 368 ms: some twelve begin before the deadline.
    CHECK(ended.size() > 40 && ended.size() < 55);
    CHECK(ended.front().result.outcome == StageWorkOutcome::Late);
    CHECK(ended.front().result.retryAfter > Milliseconds(1000));
}

TEST(StageScheduler, plansWithLessRoomAfterAServerFoundNone)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    for (std::uint64_t id = 1; id <= 4; ++id)
        scheduler.submit(id, large, now);
    auto calls = scheduler.planCalls(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    for (int round = 0; round < 12; ++round) {
        scheduler.onCallAnswered(
            calls.at(0).id, std::vector<PieceResult>(calls[0].pieces.size(), { PieceOutcome::NoCapacity, "" }), now);
        now += Milliseconds(600);
        calls = scheduler.planCalls(now);
    }
    CHECK(calls.at(0).pieces.size() <= 4);
}

TEST(StageScheduler, plansNoMoreResultsThanAServerHasRoomFor)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.planCalls(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    const auto results = allDone(calls[0]);
    scheduler.onCallAnswered(calls[0].id, results, now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    scheduler.onResultReleased(results[0].handle, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).at(0).pieces.size());
}

TEST(StageScheduler, resultsThatNobodyReleasesFreeTheirRoomAfterTheirLifetime)
{
    StageWork large = makeWork("large", 10);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.planCalls(now);
    scheduler.onCallAnswered(calls[0].id, allDone(calls[0]), now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    now += traits.resultLifetime;
    LONGS_EQUAL(5, scheduler.planCalls(now).at(0).pieces.size());
}

TEST(StageScheduler, piecesOfABrokenCallRunElsewhere)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto first = scheduler.planCalls(now);
    scheduler.onCallFailed(first[0].id, StageCallFailure::Broken, now);
    const auto second = scheduler.planCalls(now);
    LONGS_EQUAL(2, second.at(0).pieces.size());
    CHECK(second[0].server.id != first[0].server.id);
}

TEST(StageScheduler, workFailsAfterABoundedNumberOfBrokenCalls)
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

// Seen on trouble-1 of tabaq-rounds: a group lost its last server in a release, and what waited there
// was held until its deadline.
TEST(StageScheduler, workOfAGroupWithoutServersFailsAtOnce)
{
    scheduler.submit(1, makeWork("r1", 8), now);
    const auto calls = scheduler.planCalls(now);
    scheduler.submit(2, makeWork("r2", 1), now);
    scheduler.setServers({});
    auto ended = scheduler.drainEnded(now);
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(2, ended[0].task);
    CHECK(ended[0].result.outcome == StageWorkOutcome::Failed);
    scheduler.onCallAnswered(calls[0].id, allDone(calls[0]), now);
    ended = scheduler.drainEnded(now);
    CHECK(ended.at(0).result.outcome == StageWorkOutcome::Done);
}

TEST(StageScheduler, resultsOfCancelledWorkAreGivenBack)
{
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto calls = scheduler.planCalls(now);
    scheduler.cancel(1);
    scheduler.onCallAnswered(calls[0].id, allDone(calls[0]), now);
    LONGS_EQUAL(2, scheduler.drainUnclaimedResults().size());
    CHECK(scheduler.drainEnded(now).empty());
}

TEST(StageScheduler, waitsForAServerWhereTheInputsLieButNotForLong)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("blocker", 1), now);
    const auto blocker = scheduler.planCalls(now);
    const FailureDomainId busy = blocker.at(0).server.domain;
    StageWork work = makeWork("r", 4);
    work.preferredDomain = busy;
    work.crossDomainBytes = 4e6;
    scheduler.submit(2, work, now);
    LONGS_EQUAL(0, scheduler.planCalls(now).size());
    now += Milliseconds(300);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
}

TEST(StageScheduler, doesNotWaitForADomainWithoutServers)
{
    StageWork work = makeWork("r", 4);
    work.preferredDomain = FailureDomainId("gone");
    work.crossDomainBytes = 4e6;
    scheduler.submit(1, work, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
}

TEST(StageScheduler, aSlowServerIsOnlyLookedAtNowAndThen)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 1), now);
    auto calls = scheduler.planCalls(now);
    const BackendServerId slow = calls[0].server.id;
    scheduler.onCallAnswered(calls[0].id, allDone(calls[0]), now += Milliseconds(1400));
    scheduler.submit(2, makeWork("r2", 8), now);
    calls = scheduler.planCalls(now);
    LONGS_EQUAL(1, calls.size());
    CHECK(calls[0].server.id != slow);
    scheduler.submit(3, makeWork("r3", 8), now);
    now += Milliseconds(2000);
    calls = scheduler.planCalls(now);
    LONGS_EQUAL(1, calls.at(0).pieces.size());
    CHECK(calls[0].server.id == slow);
}

// A server that says nothing is not waited for: seen on trouble-2 of grantwatch-pnw, where two slow
// servers of five held up whole calls until they were given up.
TEST(StageScheduler, piecesOfACallThatTakesTooLongRunElsewhereToo)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto slow = scheduler.planCalls(now);
    LONGS_EQUAL(0, scheduler.planCalls(now += Milliseconds(300)).size());
    now = *scheduler.nextEvent(now);
    const auto again = scheduler.planCalls(now);
    LONGS_EQUAL(2, again.at(0).pieces.size());
    CHECK(again[0].server.id != slow[0].server.id);
    scheduler.onCallAnswered(again[0].id, allDone(again[0]), now += Milliseconds(242));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    // What the slow server made is not needed any more.
    scheduler.onCallAnswered(slow[0].id, allDone(slow[0]), now += Milliseconds(500));
    LONGS_EQUAL(2, scheduler.drainUnclaimedResults().size());
}

TEST(StageScheduler, aSlowAnswerThatComesFirstCounts)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto slow = scheduler.planCalls(now);
    now = *scheduler.nextEvent(now);
    const auto again = scheduler.planCalls(now);
    LONGS_EQUAL(1, again.size());
    scheduler.onCallAnswered(slow[0].id, allDone(slow[0]), now += Milliseconds(10));
    LONGS_EQUAL(1, scheduler.drainEnded(now).size());
    scheduler.onCallAnswered(again[0].id, allDone(again[0]), now += Milliseconds(200));
    LONGS_EQUAL(1, scheduler.drainUnclaimedResults().size());
    CHECK(scheduler.drainEnded(now).empty());
}

TEST(StageScheduler, aServerThatDoesNotAnswerInTimeCountsAsSlow)
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

TEST(StageScheduler, theLeastUrgentPieceIsUsedToLookAtASlowServer)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    auto calls = scheduler.planCalls(now);
    scheduler.onCallAnswered(calls.at(0).id, allDone(calls[0]), now += Milliseconds(1400));
    now += Milliseconds(2000);
    scheduler.submit(2, makeWork("urgent", 4, 0), now);
    scheduler.submit(3, makeWork("less", 4, 2), now);
    calls = scheduler.planCalls(now);
    STRCMP_EQUAL("less", calls.at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, piecesWithoutRoomDoNotFailTheirWork)
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

TEST(StageScheduler, workThatCanNotEndInTimeAnyMoreIsEndedThoughItRuns)
{
    StageWork work = makeWork("r1", 1);
    work.deadlineSlack = Milliseconds(100);
    scheduler.submit(1, work, now);
    LONGS_EQUAL(1, scheduler.planCalls(now).size());
    // The last result is needed a full call after the latest start.
    CHECK(scheduler.drainEnded(now + Milliseconds(460)).empty());
    CHECK(scheduler.drainEnded(now + Milliseconds(480)).at(0).result.outcome == StageWorkOutcome::Late);
}

TEST(StageScheduler, aHomeThatStopsGivesBackWhatItHasNotBegun)
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

// Large results fill the servers before calls do: what has to wait for room is told so at once.
TEST(StageScheduler, aBacklogOfBytesCountsAsWellAsOneOfPieces)
{
    StageWork large = makeWork("large", 1);
    large.resultBytes = 3e6;
    large.isFirst = false;
    for (std::uint64_t id = 1; id <= 40; ++id)
        scheduler.submit(id, large, now);
    scheduler.planCalls(now);
    large.isFirst = true;
    large.deadlineSlack = Milliseconds(3000);
    const auto refused = scheduler.submit(99, large, now);
    CHECK(refused && refused->outcome == StageWorkOutcome::Overloaded);
    CHECK(scheduler.backlog(now).at(0).wait > Milliseconds(3000));
}
