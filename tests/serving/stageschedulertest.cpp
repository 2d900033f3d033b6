#include "libserving/stagescheduler.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Apricot;

namespace {

const StageTraits traits { .batchLimit = 8,
    .callTime = Milliseconds(200),
    .pieceMilliseconds = 21,
    .roomBytes = 18e6,
    .resultLifetime = Milliseconds(4000) };

StageServer makeServer(const char* id, const char* domain)
{
    return { BackendServerId(id), { "10.0.0.1", 80 }, FailureDomainId(domain) };
}

StageWork makeWork(const char* request, int pieces, int rank = 0)
{
    return { .requestId = request,
        .pieces = pieces,
        .pieceKey = "k",
        .rank = rank,
        .objectiveSlack = Milliseconds(1000),
        .deadlineSlack = Milliseconds(5000),
        .patience = Milliseconds(6000),
        .resultBytes = 8000,
        .isFirst = true };
}

std::vector<PieceResult> allDone(const PlannedCall& call, const char* prefix = "h")
{
    std::vector<PieceResult> results;
    for (const PlannedPiece& piece : call.pieces)
        results.push_back({ PieceEnd::Done,
            prefix + std::to_string(call.id) + "-" + piece.requestId + "-"
                + std::to_string(piece.piece) });
    return results;
}

}

TEST_GROUP(StageScheduler)
{
    StageScheduler scheduler { traits };
    TimePoint now {};

    void setup() override { scheduler.setServers({ makeServer("s1", "a") }); }
};

TEST(StageScheduler, gathersWhatWaitsWhileTheServerIsBusyIntoOneCall)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    const auto first = scheduler.plan(now);
    LONGS_EQUAL(1, first.size());
    for (int id = 2; id <= 6; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 2), now);
    LONGS_EQUAL(0, scheduler.plan(now).size());
    scheduler.callAnswered(first[0].id, allDone(first[0]), now += Milliseconds(221));
    LONGS_EQUAL(1, scheduler.takeEnded(now).size());
    const auto second = scheduler.plan(now);
    LONGS_EQUAL(8, second.at(0).pieces.size());
}

TEST(StageScheduler, moreUrgentRequestsGoFirst)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto first = scheduler.plan(now);
    scheduler.submit(2, makeWork("less", 8, 1), now);
    scheduler.submit(3, makeWork("more", 8, 0), now);
    scheduler.callAnswered(first[0].id, allDone(first[0]), now);
    STRCMP_EQUAL("more", scheduler.plan(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, whatCanMeetItsObjectiveGoesBeforeWhatCannot)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    const auto first = scheduler.plan(now);
    StageWork late = makeWork("late", 8, 0);
    late.objectiveSlack = Milliseconds(-1);
    scheduler.submit(2, late, now);
    scheduler.submit(3, makeWork("on time", 8, 2), now);
    scheduler.callAnswered(first[0].id, allDone(first[0]), now);
    STRCMP_EQUAL("on time", scheduler.plan(now).at(0).pieces.at(0).requestId.c_str());
}

TEST(StageScheduler, workThatCannotBeDoneInTimeIsTurnedAwayAtOnce)
{
    for (int id = 1; id <= 20; ++id)
        scheduler.submit(static_cast<std::uint64_t>(id), makeWork("r", 8), now);
    StageWork work = makeWork("hopeless", 8);
    work.deadlineSlack = Milliseconds(900);
    work.objectiveSlack = Milliseconds(2000);
    const auto refused = scheduler.submit(99, work, now);
    CHECK(refused && refused->end == StageWorkEnd::Overloaded);
    CHECK(refused->retryAfter >= Milliseconds(100));
}

TEST(StageScheduler, waitingWorkEndsOnceItIsTooLateToBegin)
{
    scheduler.submit(1, makeWork("blocker", 8), now);
    scheduler.plan(now);
    scheduler.submit(2, makeWork("r", 1), now);
    CHECK(scheduler.nextEvent(now).has_value());
    now += Milliseconds(5002);
    const auto ended = scheduler.takeEnded(now);
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].result.end == StageWorkEnd::Late);
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
    scheduler.plan(now);
    now += Milliseconds(601);
    const auto ended = scheduler.takeEnded(now);
    // Calls of 368 ms: some twelve begin before the deadline.
    CHECK(ended.size() > 40 && ended.size() < 55);
    CHECK(ended.front().result.end == StageWorkEnd::Late);
    CHECK(ended.front().result.retryAfter > Milliseconds(1000));
}

TEST(StageScheduler, plansWithLessRoomAfterAServerFoundNone)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    for (std::uint64_t id = 1; id <= 4; ++id)
        scheduler.submit(id, large, now);
    auto calls = scheduler.plan(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    for (int round = 0; round < 12; ++round) {
        scheduler.callAnswered(
            calls.at(0).id, std::vector<PieceResult>(calls[0].pieces.size(), { PieceEnd::NoRoom, "" }), now);
        now += Milliseconds(600);
        calls = scheduler.plan(now);
    }
    CHECK(calls.at(0).pieces.size() <= 4);
}

TEST(StageScheduler, plansNoMoreResultsThanAServerHasRoomFor)
{
    StageWork large = makeWork("large", 16);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.plan(now);
    LONGS_EQUAL(5, calls.at(0).pieces.size());
    const auto results = allDone(calls[0]);
    scheduler.callAnswered(calls[0].id, results, now);
    LONGS_EQUAL(0, scheduler.plan(now).size());
    scheduler.released(results[0].handle);
    LONGS_EQUAL(1, scheduler.plan(now).at(0).pieces.size());
}

TEST(StageScheduler, resultsThatNobodyReleasesFreeTheirRoomAfterTheirLifetime)
{
    StageWork large = makeWork("large", 10);
    large.resultBytes = 3e6;
    scheduler.submit(1, large, now);
    auto calls = scheduler.plan(now);
    scheduler.callAnswered(calls[0].id, allDone(calls[0]), now);
    LONGS_EQUAL(0, scheduler.plan(now).size());
    now += traits.resultLifetime;
    LONGS_EQUAL(5, scheduler.plan(now).at(0).pieces.size());
}

TEST(StageScheduler, piecesOfABrokenCallRunElsewhere)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto first = scheduler.plan(now);
    scheduler.callFailed(first[0].id, StageCallFailure::Broken, now);
    const auto second = scheduler.plan(now);
    LONGS_EQUAL(2, second.at(0).pieces.size());
    CHECK(second[0].server.id != first[0].server.id);
}

TEST(StageScheduler, workFailsAfterABoundedNumberOfBrokenCalls)
{
    scheduler.submit(1, makeWork("r1", 1), now);
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto calls = scheduler.plan(now);
        scheduler.callFailed(calls.at(0).id, StageCallFailure::Broken, now);
        now += Milliseconds(500);
    }
    const auto ended = scheduler.takeEnded(now);
    LONGS_EQUAL(1, ended.size());
    CHECK(ended[0].result.end == StageWorkEnd::Failed);
}

// Seen on trouble-1 of tabaq-rounds: a group lost its last server in a release, and what waited there
// was held until its deadline.
TEST(StageScheduler, workOfAGroupWithoutServersFailsAtOnce)
{
    scheduler.submit(1, makeWork("r1", 8), now);
    const auto calls = scheduler.plan(now);
    scheduler.submit(2, makeWork("r2", 1), now);
    scheduler.setServers({});
    auto ended = scheduler.takeEnded(now);
    LONGS_EQUAL(1, ended.size());
    LONGS_EQUAL(2, ended[0].task);
    CHECK(ended[0].result.end == StageWorkEnd::Failed);
    scheduler.callAnswered(calls[0].id, allDone(calls[0]), now);
    ended = scheduler.takeEnded(now);
    CHECK(ended.at(0).result.end == StageWorkEnd::Done);
}

TEST(StageScheduler, resultsOfCancelledWorkAreGivenBack)
{
    scheduler.submit(1, makeWork("r1", 2), now);
    const auto calls = scheduler.plan(now);
    scheduler.cancel(1);
    scheduler.callAnswered(calls[0].id, allDone(calls[0]), now);
    LONGS_EQUAL(2, scheduler.takeOrphans().size());
    CHECK(scheduler.takeEnded(now).empty());
}

TEST(StageScheduler, waitsForAServerWhereTheInputsLieButNotForLong)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("blocker", 1), now);
    const auto blocker = scheduler.plan(now);
    const FailureDomainId busy = blocker.at(0).server.domain;
    StageWork work = makeWork("r", 4);
    work.domain = busy;
    work.crossingBytes = 4e6;
    scheduler.submit(2, work, now);
    LONGS_EQUAL(0, scheduler.plan(now).size());
    now += Milliseconds(300);
    LONGS_EQUAL(1, scheduler.plan(now).size());
}

TEST(StageScheduler, doesNotWaitForADomainWithoutServers)
{
    StageWork work = makeWork("r", 4);
    work.domain = FailureDomainId("gone");
    work.crossingBytes = 4e6;
    scheduler.submit(1, work, now);
    LONGS_EQUAL(1, scheduler.plan(now).size());
}

TEST(StageScheduler, aSlowServerIsOnlyLookedAtNowAndThen)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "b") });
    scheduler.submit(1, makeWork("r1", 1), now);
    auto calls = scheduler.plan(now);
    const BackendServerId slow = calls[0].server.id;
    scheduler.callAnswered(calls[0].id, allDone(calls[0]), now += Milliseconds(1400));
    scheduler.submit(2, makeWork("r2", 8), now);
    calls = scheduler.plan(now);
    LONGS_EQUAL(1, calls.size());
    CHECK(calls[0].server.id != slow);
    scheduler.submit(3, makeWork("r3", 8), now);
    now += Milliseconds(2000);
    calls = scheduler.plan(now);
    LONGS_EQUAL(1, calls.at(0).pieces.size());
    CHECK(calls[0].server.id == slow);
}

namespace {

// Plays a load of single-stage requests against servers that work as their traits say.
struct StageLoad {
    int servers = 3;
    double requestsPerSecond = 0;
    int pieces = 2;
    Milliseconds length { 20'000 };
    Milliseconds objective { 1300 };
    // Whether each request goes out in a call of its own.
    bool isGathered = true;

    // Share of the requests that begin within their objective.
    double playShareOnTime() const
    {
        StageTraits played = traits;
        if (!isGathered)
            played.batchLimit = pieces;
        StageScheduler scheduler(played);
        std::vector<StageServer> all;
        all.reserve(static_cast<std::size_t>(servers));
        for (int index = 0; index < servers; ++index)
            all.push_back(makeServer(("s" + std::to_string(index)).c_str(), "a"));
        scheduler.setServers(all);
        std::mt19937 random(20261203);
        std::exponential_distribution<double> gap(requestsPerSecond / 1000);
        std::map<std::uint64_t, TimePoint> begun;
        std::multimap<TimePoint, PlannedCall> running;
        double arrived = 0;
        double onTime = 0;
        double nextArrival = gap(random);
        for (TimePoint now {}; now < TimePoint() + length; now += Milliseconds(1)) {
            const double elapsed = std::chrono::duration<double, std::milli>(now - TimePoint()).count();
            for (; nextArrival <= elapsed; nextArrival += gap(random)) {
                const auto id = static_cast<std::uint64_t>(++arrived);
                begun[id] = now;
                StageWork work = makeWork("r", pieces);
                // A full call fits between the latest start and the objective.
                work.objectiveSlack = objective - Milliseconds(368);
                scheduler.submit(id, work, now);
            }
            while (!running.empty() && running.begin()->first <= now) {
                const PlannedCall call = running.begin()->second;
                running.erase(running.begin());
                const auto results = allDone(call);
                scheduler.callAnswered(call.id, results, now);
                for (const PieceResult& result : results)
                    scheduler.released(result.handle);
            }
            for (const auto& ended : scheduler.takeEnded(now))
                onTime += now - begun.at(ended.task) <= objective
                        && ended.result.end == StageWorkEnd::Done
                    ? 1
                    : 0;
            for (PlannedCall& call : scheduler.plan(now)) {
                const Milliseconds took(200 + 21 * static_cast<int>(call.pieces.size()));
                running.emplace(now + took, std::move(call));
            }
        }
        return onTime / arrived;
    }
};

}

// Three servers bear 65 pieces a second in full calls, and 24 in calls of two.
TEST(StageScheduler, gatheringCarriesALoadThatSingleCallsCannot)
{
    const StageLoad gathered { .requestsPerSecond = 20 };
    StageLoad single = gathered;
    single.isGathered = false;
    CHECK(gathered.playShareOnTime() > 0.95);
    CHECK(single.playShareOnTime() < 0.7);
}

TEST(StageScheduler, anOverloadStillLeavesWhatTheServersBear)
{
    // Half as much again as full calls carry: two in three can be served on time at best.
    const StageLoad load { .requestsPerSecond = 48 };
    CHECK(load.playShareOnTime() > 0.5);
}
