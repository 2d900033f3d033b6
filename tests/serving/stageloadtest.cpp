#include "serving/stageworkload.h"

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Apricot;
using namespace Apricot::StageWorkload;

namespace {

// Simulates a load of single-stage requests on servers whose call times follow their traits.
struct StageLoad {
    int servers = 3;
    double requestsPerSecond = 0;
    int pieces = 2;
    Milliseconds duration { 20'000 };
    Milliseconds objective { 1300 };
    // Whether pieces of several requests share a call.
    bool isBatched = true;
    // Number of servers whose calls take 20 times as long.
    int slowServers = 0;
    StageSchedulerOptions options {};

    // Share of the requests whose stage is done within the objective.
    double simulateOnTimeShare() const
    {
        StageTraits stageTraits = traits;
        if (!isBatched)
            stageTraits.batchLimit = pieces;
        StageScheduler scheduler(stageTraits, options);
        std::vector<StageServer> stageServers;
        stageServers.reserve(static_cast<std::size_t>(servers));
        for (int index = 0; index < servers; ++index)
            stageServers.push_back(makeServer(("s" + std::to_string(index)).c_str(), "a"));
        scheduler.setServers(stageServers);
        std::mt19937 random(20261203);
        std::exponential_distribution<double> interarrivalTime(requestsPerSecond / 1000);
        std::map<std::uint64_t, TimePoint> arrivalTimes;
        std::multimap<TimePoint, PlannedCall> runningCalls;
        double arrivedCount = 0;
        double onTimeCount = 0;
        double nextArrival = interarrivalTime(random);
        for (TimePoint now {}; now < TimePoint() + duration; now += Milliseconds(1)) {
            const double elapsed = std::chrono::duration<double, std::milli>(now - TimePoint()).count();
            for (; nextArrival <= elapsed; nextArrival += interarrivalTime(random)) {
                const auto id = static_cast<std::uint64_t>(++arrivedCount);
                arrivalTimes[id] = now;
                StageWork work = makeWork("r", pieces);
                // A full call takes 368 ms, so it fits between the latest start and the objective.
                work.objectiveSlack = objective - Milliseconds(368);
                scheduler.submit(id, work, now);
            }
            while (!runningCalls.empty() && runningCalls.begin()->first <= now) {
                const PlannedCall call = runningCalls.begin()->second;
                runningCalls.erase(runningCalls.begin());
                const auto results = makeDoneResults(call);
                scheduler.onCallAnswered(call.id, results, now);
                for (const PieceResult& result : results)
                    scheduler.onResultReleased(result.handle, now);
            }
            for (const auto& ended : scheduler.drainEnded(now))
                onTimeCount += now - arrivalTimes.at(ended.task) <= objective
                        && ended.result.outcome == StageWorkOutcome::Done
                    ? 1
                    : 0;
            for (PlannedCall& call : scheduler.planCalls(now)) {
                const bool isSlow = call.server.id < BackendServerId("s" + std::to_string(slowServers));
                const Milliseconds callDuration(
                    (isSlow ? 20 : 1) * (200 + 21 * static_cast<int>(call.pieces.size())));
                runningCalls.emplace(now + callDuration, std::move(call));
            }
        }
        return onTimeCount / arrivedCount;
    }
};

}

TEST_GROUP(StageLoad) {};

// Three servers can run 65 pieces per second in full calls, and 24 in calls of two pieces.
TEST(StageLoad, batchingCarriesALoadThatUnbatchedCallsCannot)
{
    const StageLoad batched { .requestsPerSecond = 20 };
    StageLoad unbatched = batched;
    unbatched.isBatched = false;
    CHECK(batched.simulateOnTimeShare() > 0.95);
    CHECK(unbatched.simulateOnTimeShare() < 0.7);
}

TEST(StageLoad, halfOfTheRequestsAreOnTimeUnderAnOverload)
{
    // 1.5 times the load that full calls can carry, so at most two in three requests can be on time.
    const StageLoad load { .requestsPerSecond = 48 };
    CHECK(load.simulateOnTimeShare() > 0.5);
}

// Two of five servers are slow under a load that the other three can carry. Running the pieces of overdue
// calls on other servers as well keeps most requests on time.
TEST(StageLoad, slowServersDelayFewRequests)
{
    StageLoad load { .servers = 5, .requestsPerSecond = 22, .slowServers = 2 };
    const double onTimeShare = load.simulateOnTimeShare();
    load.options.overdueFactor = 1000;
    CHECK(onTimeShare > 0.95);
    CHECK(onTimeShare > load.simulateOnTimeShare());
}
