#include "libserving/resultcapacity.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

const StageTraits traits { .batchLimit = 10,
    .callTime = Milliseconds(200),
    .pieceMilliseconds = 20,
    .resultCapacityBytes = 10e6,
    .resultLifetime = Milliseconds(4000) };
const BackendServerId server("s1");

}

TEST_GROUP(ResultCapacity)
{
    ResultCapacity capacity { traits, { .plannableShare = 1 } };
    TimePoint now {};
};

TEST(ResultCapacity, resultsUseCapacityFromTheStartOfTheirCallToTheirRelease)
{
    capacity.reserve(server, 4e6);
    DOUBLES_EQUAL(6e6, capacity.freeBytes(server, now), 1);
    capacity.addResult("h", server, 4e6, now, now + Milliseconds(300));
    now += Milliseconds(1000);
    DOUBLES_EQUAL(6e6, capacity.freeBytes(server, now), 1);
    capacity.release("h", now);
    DOUBLES_EQUAL(10e6, capacity.freeBytes(server, now), 1);
}

TEST(ResultCapacity, unreleasedResultsExpireAfterTheirLifetime)
{
    capacity.reserve(server, 4e6);
    capacity.addResult("h", server, 4e6, now, now);
    capacity.expire(now + Milliseconds(3999));
    DOUBLES_EQUAL(4e6, capacity.usedBytes(server), 1);
    capacity.expire(now + Milliseconds(4000));
    DOUBLES_EQUAL(0, capacity.usedBytes(server), 1);
    CHECK_FALSE(capacity.serverOf("h").has_value());
}

// Guards against repeated full calls to full servers after a group got a new home, which does not know the
// results of the previous one. Seen in the incident run trouble-2 of site grantwatch-pnw.
TEST(ResultCapacity, capacityMissingFromAFullServerCountsAsForeignResults)
{
    capacity.reserve(server, 3e6);
    capacity.onCallEnded(server, true, now);
    CHECK(capacity.freeBytes(server, now) <= 0);
    // Foreign results are assumed to be released as fast as this host's own: initially within the time of
    // two calls of 400 ms.
    CHECK(capacity.freeBytes(server, now + Milliseconds(400)) > 2e6);
    CHECK(capacity.freeBytes(server, now + Milliseconds(800)) > 6e6);
}

TEST(ResultCapacity, timeUntilFreeFollowsTheMeanHoldTime)
{
    for (int round = 0; round < 200; ++round) {
        capacity.reserve(server, 1e6);
        capacity.addResult("h", server, 1e6, now, now + Milliseconds(300));
        now += Milliseconds(1200);
        capacity.release("h", now);
    }
    const Milliseconds wait = capacity.timeUntilFree(5e6, 1);
    CHECK(wait > Milliseconds(550) && wait < Milliseconds(650));
    CHECK(capacity.timeUntilFree(5e6, 5) < Milliseconds(130));
    LONGS_EQUAL(0, capacity.timeUntilFree(-1, 1).count());
}
