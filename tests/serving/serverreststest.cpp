#include "libserving/serverrests.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ServerRests)
{
    ServerRests rests;
    TimePoint now { std::chrono::seconds(100) };
    const ServerStart server { BackendServerId("s"), 1 };
    const ServerStart nextStart { BackendServerId("s"), 2 };
};

TEST(ServerRests, endWithTheirTime)
{
    CHECK_TRUE(rests.record(server, Milliseconds(1500), now));
    CHECK_FALSE(rests.mayReceive(server, 0, now + Milliseconds(1499)));
    CHECK_TRUE(rests.mayReceive(server, 0, now + Milliseconds(1500)));
    LONGS_EQUAL(1, rests.count(now));
}

TEST(ServerRests, areNotShortened)
{
    rests.record(server, Milliseconds(3000), now);
    CHECK_FALSE(rests.record(server, Milliseconds(100), now + Milliseconds(10)));
    CHECK_FALSE(rests.mayReceive(server, 0, now + Milliseconds(2900)));
}

TEST(ServerRests, endWithTheNextStart)
{
    rests.record(server, Milliseconds(3000), now);
    CHECK_TRUE(rests.mayReceive(nextStart, 100, now));
    rests.record(nextStart, Milliseconds(500), now);
    CHECK_FALSE(rests.record(server, Milliseconds(9000), now));
    CHECK_TRUE(rests.mayReceive(nextStart, 0, now + Milliseconds(500)));
}

// Guards against a wave of requests as a rest ends.
TEST(ServerRests, areFollowedByFewRequestsAtFirst)
{
    rests.record(server, Milliseconds(1000), now);
    const TimePoint end = now + Milliseconds(1000);
    CHECK_FALSE(rests.mayReceive(server, 1, end));
    CHECK_TRUE(rests.mayReceive(server, 4, end + Milliseconds(500)));
    CHECK_FALSE(rests.mayReceive(server, 12, end + Milliseconds(500)));
    CHECK_TRUE(rests.mayReceive(server, 100, end + Milliseconds(1000)));
}

TEST(ServerRests, ofServersThatAreNotListedAreRemoved)
{
    rests.record(server, Milliseconds(60'000), now);
    rests.retain({}, now);
    CHECK_TRUE(rests.isEmpty());
}
