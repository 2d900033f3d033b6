#include "libserving/serverlimits.h"

#include "libserving/serverlimitjson.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ServerLimits)
{
    ServerLimits limits;
    TimePoint now { Milliseconds(100'000) };
    const ServerStart server { BackendServerId("s1"), 7 };

    LimitChange record(std::optional<double> limit, Milliseconds age = Milliseconds(0))
    {
        return limits.record(server, { limit, now - age }, now);
    }

    // A span may hold one permit more or less than the limit allows in it.
    static void checkPermits(int allowed, int permits)
    {
        CHECK_COMPARE(permits, >=, allowed - 1);
        CHECK_COMPARE(permits, <=, allowed + 1);
    }

    // Permits acquired in a time, with a try every ten milliseconds.
    int acquireFor(Milliseconds time, double share = 1)
    {
        constexpr Milliseconds step { 10 };
        int permits = 0;
        for (const TimePoint end = now + time; now < end; now += step)
            permits += limits.tryAcquire(server, share, now) ? 1 : 0;
        return permits;
    }
};

TEST(ServerLimits, grantsAsManyPermitsAsTheLimitAllows)
{
    CHECK(limits.tryAcquire(server, 1, now));
    CHECK(record(2.5) == LimitChange::Named);
    checkPermits(25, acquireFor(Milliseconds(10'000)));
    checkPermits(12, acquireFor(Milliseconds(10'000), 0.5));
}

TEST(ServerLimits, thePermitsOfAnySpanStayWithinTheBound)
{
    for (const double limit : { 0.0, 0.05, 0.5, 1.0, 3.0, 40.0 }) {
        record(limit);
        now += Milliseconds(60'000);
        // The bound of the users' platform.
        const double bound = 1.5 * 4 * limit + 5;
        CHECK_COMPARE(acquireFor(Milliseconds(4000)), <=, static_cast<int>(bound));
    }
}

// Responses overtake each other.
TEST(ServerLimits, theResponseToTheLatestRequestCounts)
{
    record(1);
    CHECK(record(std::nullopt, Milliseconds(200)) == LimitChange::None);
    CHECK(limits.find(server) != nullptr);
    now += Milliseconds(100);
    CHECK(record(std::nullopt) == LimitChange::Ended);
    CHECK(limits.find(server) == nullptr);
    CHECK(record(1, Milliseconds(50)) == LimitChange::None);
    now += Milliseconds(100);
    CHECK(record(0.5) == LimitChange::Named);
    CHECK(record(0.25) == LimitChange::Changed);
}

TEST(ServerLimits, anotherStartOfAServerHasNoLimit)
{
    record(1);
    const ServerStart next { server.server, 8 };
    CHECK(limits.find(next) == nullptr);
    CHECK(limits.record(next, { std::nullopt, now }, now) == LimitChange::None);
    CHECK(limits.find(server) == nullptr);
    CHECK(limits.record(next, { 2, now }, now) == LimitChange::Named);
    // A late response of the start before.
    CHECK(record(1) == LimitChange::None);
    LONGS_EQUAL(1, limits.size());
}

TEST(ServerLimits, aRefusalIsReliedOnForALimitedTime)
{
    record(1);
    limits.recordRefusal(server, now + Milliseconds(60'000), now);
    CHECK(limits.refusedUntil(server) == now + Milliseconds(2000));
    now += Milliseconds(10);
    record(2);
    CHECK(limits.refusedUntil(server) <= now);
}

TEST(ServerLimits, holdForThousandsOfServers)
{
    constexpr int servers = 10'000;
    for (int index = 0; index < servers; ++index)
        limits.record({ BackendServerId("s" + std::to_string(index)), 7 }, { 1, now }, now);
    LONGS_EQUAL(servers, limits.size());
    now += Milliseconds(1000);
    checkPermits(4, acquireFor(Milliseconds(4000)));
    limits.retain({ server.server });
    LONGS_EQUAL(1, limits.size());
}

TEST(ServerLimits, messagesCarryEvidenceAsAges)
{
    const LimitNotice notice { server, { 0.5, now - Milliseconds(30) } };
    CHECK(readLimitNotice(toJson(notice, now), now) == notice);
    const PermitResponse response { true, Milliseconds(40), { std::nullopt, now - Milliseconds(5) } };
    CHECK(readPermitResponse(toJson(response, now), now) == response);
    for (const char* text : { "", "null", "{}", R"({"server":1,"started_at":7,"limit":1,"age_ms":0})",
             R"({"server":"s","started_at":7,"limit":-1,"age_ms":0})",
             R"({"server":"s","started_at":7,"limit":"1","age_ms":0})",
             R"({"server":"s","started_at":7,"limit":1,"age_ms":-1})" })
        CHECK_THROWS(std::exception, readLimitNotice(text, now));
}
