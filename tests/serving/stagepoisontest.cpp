#include "serving/stageworkload.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>

using namespace Apricot;
using namespace Apricot::StageWorkload;

namespace {

bool hasRequest(const PlannedCall& call, const std::string& request)
{
    return std::any_of(call.pieces.begin(), call.pieces.end(),
        [&request](const PlannedPiece& piece) { return piece.requestId == request; });
}

}

TEST_GROUP(StagePoison)
{
    StageScheduler scheduler { traits };
    TimePoint now {};
    std::map<std::uint64_t, StageWorkOutcome> outcomes;

    // Makes the planned calls. Those with pieces of the request "poison" break; returns their number.
    int makeCalls()
    {
        int broken = 0;
        const std::vector<PlannedCall> calls = scheduler.planCalls(now);
        now += Milliseconds(300);
        for (const PlannedCall& call : calls) {
            if (hasRequest(call, "poison")) {
                ++broken;
                scheduler.onCallFailed(call.id, StageCallFailure::Broken, now);
            } else {
                scheduler.onCallAnswered(call.id, makeDoneResults(call), now);
            }
        }
        for (const auto& ended : scheduler.drainEnded(now))
            outcomes[ended.task] = ended.result.outcome;
        return broken;
    }
};

// Guards against other requests failing with one that crashes its servers, because their pieces are sent in
// the same calls again and again.
TEST(StagePoison, requestsInTheSameCallsAsACrashingOneFinish)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    scheduler.submit(1, makeWork("poison", 2), now);
    scheduler.submit(2, makeWork("r2", 1), now);
    scheduler.submit(3, makeWork("r3", 1), now);
    int broken = 0;
    for (int round = 0; round < 20; ++round)
        broken += makeCalls();
    LONGS_EQUAL(3, broken);
    CHECK(outcomes.at(1) == StageWorkOutcome::Failed);
    CHECK(outcomes.at(2) == StageWorkOutcome::Done);
    CHECK(outcomes.at(3) == StageWorkOutcome::Done);
}

// Guards against a request that ends its servers failing more of them the more pieces it has.
TEST(StagePoison, theNumberOfBrokenCallsDoesNotGrowWithThePieces)
{
    scheduler.setServers({ makeServer("s1", "a") });
    scheduler.submit(1, makeWork("poison", 30), now);
    int broken = 0;
    for (int round = 0; round < 40; ++round)
        broken += makeCalls();
    LONGS_EQUAL(3, broken);
}

// Guards against a probation run that ends several servers.
TEST(StagePoison, aProbationRunEndsWithItsFirstBrokenCall)
{
    scheduler.setServers({ makeServer("s1", "a"), makeServer("s2", "a") });
    StageWork work = makeWork("poison", 4);
    work.isProbation = true;
    scheduler.submit(1, work, now);
    int broken = 0;
    for (int round = 0; round < 10; ++round)
        broken += makeCalls();
    LONGS_EQUAL(1, broken);
    CHECK(outcomes.at(1) == StageWorkOutcome::Poisoned);
}

TEST(StagePoison, workOfAPoisonedRequestEndsAtOnce)
{
    scheduler.setServers({ makeServer("s1", "a") });
    StageWork work = makeWork("r1", 1);
    work.fingerprint = 7;
    scheduler.submit(1, work, now);
    scheduler.submit(2, makeWork("r2", 1), now);
    scheduler.applyPermits([](Fingerprint fingerprint) {
        return fingerprint == 7 ? StageWorkPermit::Poisoned : StageWorkPermit::Shared;
    });
    makeCalls();
    CHECK(outcomes.at(1) == StageWorkOutcome::Poisoned);
    CHECK(outcomes.at(2) == StageWorkOutcome::Done);
}

TEST(StagePoison, workOfASuspectRequestSharesNoCall)
{
    scheduler.setServers({ makeServer("s1", "a") });
    StageWork work = makeWork("suspect", 1);
    work.fingerprint = 7;
    scheduler.submit(1, makeWork("r1", 1), now);
    scheduler.submit(2, work, now);
    scheduler.submit(3, makeWork("r3", 1), now);
    scheduler.applyPermits([](Fingerprint fingerprint) {
        return fingerprint == 7 ? StageWorkPermit::Exclusive : StageWorkPermit::Shared;
    });
    const std::vector<PlannedCall> calls = scheduler.planCalls(now);
    LONGS_EQUAL(1, calls.size());
    LONGS_EQUAL(2, calls[0].pieces.size());
    CHECK_FALSE(hasRequest(calls[0], "suspect"));
}
