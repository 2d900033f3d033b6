#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

#include <cstdlib>

using namespace Apricot;

namespace {

// Bound of the users' platform: from a time after a server first named its limit, the requests that it gets in each
// window are at most `boundFactor` times what the limit allows, and `boundSlack` more.
constexpr Milliseconds contactTime { 3000 };
constexpr Milliseconds boundWindow { 4000 };
constexpr double boundFactor = 1.5;
constexpr double boundSlack = 5;

constexpr std::size_t hostCount = 8;
constexpr Milliseconds playTime { 10'000 };
constexpr Milliseconds step { 25 };

}

TEST_GROUP(ServerLimit)
{
    GatewayCluster cluster { hostCount };
    int requests = 0;

    // Sends requests to the hosts, half of them to the first one.
    void play(const std::string& path, Milliseconds time, Milliseconds pause = step)
    {
        const int steps = static_cast<int>(time / pause);
        for (int index = 0; index < steps; ++index) {
            const int number = requests++;
            const std::size_t host = number % 2 == 0 ? 0 : static_cast<std::size_t>(number / 2) % hostCount;
            cluster.send(host, path, "ordinary " + std::to_string(number));
            cluster.runFor(pause);
        }
    }

    void checkLimits(TimePoint namedAt)
    {
        const double seconds = std::chrono::duration<double>(boundWindow).count();
        for (const auto& [server, limit] : cluster.limits) {
            const double allowed
                = boundFactor * seconds * std::strtod(limit.c_str(), nullptr) + boundSlack;
            const std::size_t most = cluster.mostRunsWithin(boundWindow, server, namedAt + contactTime);
            CHECK_COMPARE_TEXT(most, <=, static_cast<std::size_t>(allowed), server.c_str());
        }
    }

    std::size_t runsAfter(TimePoint from) const
    {
        std::size_t count = 0;
        for (const ScriptedRun& run : cluster.runs)
            count += run.startedAt >= from ? 1 : 0;
        return count;
    }
};

TEST(ServerLimit, holdsForRequestsOverAllHosts)
{
    cluster.addServers("plain", 6);
    cluster.waitUntilReady();
    cluster.limits = { { cluster.serverId("plain", 0), "1" }, { cluster.serverId("plain", 2), "1.0" },
        { cluster.serverId("plain", 4), "0.5" } };
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", playTime);
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 390);
}

TEST(ServerLimit, holdsForStreams)
{
    cluster.addServers("engines", 6);
    cluster.waitUntilReady();
    cluster.limits = { { cluster.serverId("engines", 0), "1" }, { cluster.serverId("engines", 1), "0.5" } };
    const TimePoint namedAt = RuntimeClock::now();
    play("/stream/x", playTime);
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 390);
}

TEST(ServerLimit, holdsForCallsOfStages)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 6);
    cluster.waitUntilReady();
    cluster.limits = { { cluster.serverId("stages", 0), "1" }, { cluster.serverId("stages", 3), "0.5" } };
    const TimePoint namedAt = RuntimeClock::now();
    play("/staged/x", playTime, Milliseconds(50));
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 190);
}

// A pool of limited servers serves what they allow and refuses the rest at once, truthfully.
TEST(ServerLimit, ofAWholePoolIsUsedAndHeld)
{
    cluster.addServers("plain", 6);
    cluster.waitUntilReady();
    for (std::size_t position = 0; position < 6; ++position)
        cluster.limits[cluster.serverId("plain", position)] = "2";
    const TimePoint namedAt = RuntimeClock::now();
    play("/once/x", playTime);
    checkLimits(namedAt);
    const std::size_t served = cluster.countResponses("ordinary", 200);
    LONGS_EQUAL(requests, served + cluster.countResponses("ordinary", 503));
    LONGS_EQUAL(served, runsAfter(namedAt));
    // At least half of 12 a second.
    CHECK_COMPARE(served, >=, 60);
}

TEST(ServerLimit, holdsForEnginesThatAreAllLimited)
{
    cluster.addServers("engines", 6);
    cluster.waitUntilReady();
    for (std::size_t position = 0; position < 6; ++position)
        cluster.limits[cluster.serverId("engines", position)] = "1";
    const TimePoint namedAt = RuntimeClock::now();
    play("/stream/x", playTime);
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 30);
}
