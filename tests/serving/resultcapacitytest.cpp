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
    ResultCapacity capacity { traits, { .plannedPart = 1 } };
    TimePoint now {};
};

TEST(ResultCapacity, resultsTakeUpRoomFromTheirCallToTheirRelease)
{
    capacity.reserve(server, 4e6);
    DOUBLES_EQUAL(6e6, capacity.free(server, now), 1);
    capacity.keep("h", server, 4e6, now, now + Milliseconds(300));
    now += Milliseconds(1000);
    DOUBLES_EQUAL(6e6, capacity.free(server, now), 1);
    capacity.release("h", now);
    DOUBLES_EQUAL(10e6, capacity.free(server, now), 1);
}

TEST(ResultCapacity, resultsThatNobodyReleasesEndWithTheirLifetime)
{
    capacity.reserve(server, 4e6);
    capacity.keep("h", server, 4e6, now, now);
    capacity.expire(now + Milliseconds(3999));
    DOUBLES_EQUAL(4e6, capacity.used(server), 1);
    capacity.expire(now + Milliseconds(4000));
    DOUBLES_EQUAL(0, capacity.used(server), 1);
    CHECK_FALSE(capacity.serverOf("h").has_value());
}

// Seen on trouble-2 of grantwatch-pnw: a home that took over sent full calls to servers that were full
// of the results of the home before, again and again.
TEST(ResultCapacity, aServerFoundFullIsTakenToHoldResultsOfOthers)
{
    capacity.reserve(server, 3e6);
    capacity.callEnded(server, true, now);
    CHECK(capacity.free(server, now) <= 0);
    // Others release theirs as we do ours: two calls of 400 ms until there is experience.
    CHECK(capacity.free(server, now + Milliseconds(400)) > 2e6);
    CHECK(capacity.free(server, now + Milliseconds(800)) > 6e6);
}

TEST(ResultCapacity, moreBytesThanAreFreeWaitForAsLongAsResultsAreHeld)
{
    for (int round = 0; round < 200; ++round) {
        capacity.reserve(server, 1e6);
        capacity.keep("h", server, 1e6, now, now + Milliseconds(300));
        now += Milliseconds(1200);
        capacity.release("h", now);
    }
    const Milliseconds wait = capacity.timeToFree(5e6, 1);
    CHECK(wait > Milliseconds(550) && wait < Milliseconds(650));
    CHECK(capacity.timeToFree(5e6, 5) < Milliseconds(130));
    LONGS_EQUAL(0, capacity.timeToFree(-1, 1).count());
}
