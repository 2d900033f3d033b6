#include "libserving/resultroom.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

const StageTraits traits { .batchLimit = 10,
    .callTime = Milliseconds(200),
    .pieceMilliseconds = 20,
    .roomBytes = 10e6,
    .resultLifetime = Milliseconds(4000) };
const BackendServerId server("s1");

}

TEST_GROUP(ResultRoom)
{
    ResultRoom room { traits, { .plannedPart = 1 } };
    TimePoint now {};
};

TEST(ResultRoom, resultsTakeUpRoomFromTheirCallToTheirRelease)
{
    room.reserve(server, 4e6);
    DOUBLES_EQUAL(6e6, room.free(server, now), 1);
    room.keep("h", server, 4e6, now, now + Milliseconds(300));
    now += Milliseconds(1000);
    DOUBLES_EQUAL(6e6, room.free(server, now), 1);
    room.release("h", now);
    DOUBLES_EQUAL(10e6, room.free(server, now), 1);
}

TEST(ResultRoom, resultsThatNobodyReleasesEndWithTheirLifetime)
{
    room.reserve(server, 4e6);
    room.keep("h", server, 4e6, now, now);
    room.expire(now + Milliseconds(3999));
    DOUBLES_EQUAL(4e6, room.used(server), 1);
    room.expire(now + Milliseconds(4000));
    DOUBLES_EQUAL(0, room.used(server), 1);
    CHECK_FALSE(room.serverOf("h").has_value());
}

// Seen on trouble-2 of grantwatch-pnw: a home that took over sent full calls to servers that were full
// of the results of the home before, again and again.
TEST(ResultRoom, aServerFoundFullIsTakenToHoldResultsOfOthers)
{
    room.reserve(server, 3e6);
    room.callEnded(server, true, now);
    CHECK(room.free(server, now) <= 0);
    // Others release theirs as we do ours: two calls of 400 ms until there is experience.
    CHECK(room.free(server, now + Milliseconds(400)) > 2e6);
    CHECK(room.free(server, now + Milliseconds(800)) > 6e6);
}

TEST(ResultRoom, moreBytesThanAreFreeWaitForAsLongAsResultsAreHeld)
{
    for (int round = 0; round < 200; ++round) {
        room.reserve(server, 1e6);
        room.keep("h", server, 1e6, now, now + Milliseconds(300));
        now += Milliseconds(1200);
        room.release("h", now);
    }
    const Milliseconds wait = room.timeToFree(5e6, 1);
    CHECK(wait > Milliseconds(550) && wait < Milliseconds(650));
    CHECK(room.timeToFree(5e6, 5) < Milliseconds(130));
    LONGS_EQUAL(0, room.timeToFree(-1, 1).count());
}
