#include "gatewaycluster.h"

#include "libapricot/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
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
        cluster.runFor(Milliseconds(300));
    }

    // Plain servers, the first of which names a limit.
    std::string addLimitedServer(const std::string& limit)
    {
        cluster.addServers("plain", 3);
        cluster.waitUntilReady();
        std::string server = cluster.serverId("plain", 0);
        cluster.limits[server] = limit;
        return server;
    }

    // Position of the host that grants the permits of a server.
    static std::size_t grantorOf(const std::string& server)
    {
        std::vector<HostId> hosts;
        for (std::size_t host = 0; host < hostCount; ++host)
            hosts.emplace_back("host-" + std::to_string(host));
        const HostId first = rankHosts(server, hosts).front();
        return static_cast<std::size_t>(std::find(hosts.begin(), hosts.end(), first) - hosts.begin());
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

    // Names a limit for the first servers of a pool.
    void limitServers(const std::string& pool, std::size_t count, const std::string& limit)
    {
        for (std::size_t position = 0; position < count; ++position)
            cluster.limits[cluster.serverId(pool, position)] = limit;
    }

    // Sends requests to servers with limits, and checks that these hold and at least so many requests are served.
    void checkPlay(const std::string& path, std::size_t minServed, Milliseconds pause = step)
    {
        const TimePoint namedAt = RuntimeClock::now();
        play(path, playTime, pause);
        checkLimits(namedAt);
        CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, minServed);
    }

    // Number of hosts that know a server with a limit.
    std::size_t hostsWithALimit()
    {
        std::size_t hosts = 0;
        for (std::size_t host = 0; host < hostCount; ++host) {
            const std::optional<double> limited = cluster.metricOf(host, "apricot_limited_servers");
            CHECK(limited.has_value());
            hosts += limited > 0 ? 1 : 0;
        }
        return hosts;
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
    checkPlay("/again/x", 390);
}

TEST(ServerLimit, holdsForStreams)
{
    cluster.addServers("engines", 6);
    cluster.waitUntilReady();
    cluster.limits = { { cluster.serverId("engines", 0), "1" }, { cluster.serverId("engines", 1), "0.5" } };
    checkPlay("/stream/x", 390);
}

TEST(ServerLimit, holdsForCallsOfStages)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 6);
    cluster.waitUntilReady();
    cluster.limits = { { cluster.serverId("stages", 0), "1" }, { cluster.serverId("stages", 3), "0.5" } };
    checkPlay("/staged/x", 190, Milliseconds(50));
}

// A pool of limited servers serves what they allow and refuses the rest at once, truthfully.
TEST(ServerLimit, ofAWholePoolIsUsedAndHeld)
{
    cluster.addServers("plain", 6);
    cluster.waitUntilReady();
    limitServers("plain", 6, "2");
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
    limitServers("engines", 6, "1");
    checkPlay("/stream/x", 30);
}

// Guards against stage results that are produced in vain, because no engine may run their request.
TEST(ServerLimit, ofAllEnginesRefusesRequestsBeforeTheirStagesRun)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 4);
    cluster.waitUntilReady();
    limitServers("engines", 2, "0.5");
    play("/staged/x", Milliseconds(5000), Milliseconds(50));
    const std::size_t refused = cluster.countResponses("ordinary", 503);
    CHECK_COMPARE(refused, >=, 50);
    std::size_t pieces = 0;
    for (const ScriptedRun& run : cluster.runs) {
        if (run.pool == "stages")
            pieces += static_cast<std::size_t>(std::count(run.content.begin(), run.content.end(), ' ')) / 2;
    }
    CHECK_COMPARE(pieces + refused, <=, static_cast<std::size_t>(requests) + 5);
}

TEST(ServerLimit, endsWithAResponseThatNamesNone)
{
    const std::string server = addLimitedServer("1");
    play("/again/x", Milliseconds(4000));
    cluster.limits.clear();
    cluster.runFor(Milliseconds(1500));
    play("/again/x", Milliseconds(2000));
    const TimePoint from = RuntimeClock::now();
    play("/again/x", Milliseconds(2000));
    CHECK_COMPARE(cluster.runsAt(server, from), >=, 10);
}

TEST(ServerLimit, thatIsLoweredHolds)
{
    const std::string server = addLimitedServer("8");
    play("/again/x", Milliseconds(4000));
    cluster.limits[server] = "0.5";
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", playTime);
    checkLimits(namedAt);
}

// A server that permits nothing is tried again now and then, because its limit may have ended.
TEST(ServerLimit, ofZeroLeavesFewRequests)
{
    const std::string server = addLimitedServer("0");
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", playTime);
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.runsAt(server, namedAt + contactTime), <=, 2);
}

TEST(ServerLimit, thatIsNoDecimalNumberChangesNothing)
{
    const std::string server = addLimitedServer("");
    const std::vector<std::string> values { "", "-1", "none", "1e1", "inf", "nan", "1 a", std::string(500, '9') };
    for (const std::string& value : values) {
        cluster.limits[server] = value;
        const TimePoint from = RuntimeClock::now();
        play("/again/x", Milliseconds(700));
        CHECK_COMPARE_TEXT(cluster.runsAt(server, from), >=, 1, value.c_str());
        LONGS_EQUAL_TEXT(0, hostsWithALimit(), value.c_str());
    }
    cluster.limits[server] = "0.5";
    play("/again/x", Milliseconds(700));
    LONGS_EQUAL(hostCount, hostsWithALimit());
}

// Guards against a substitute that grants the whole limit beside the host that it replaces.
TEST(ServerLimit, holdsWhileTheGrantingHostIsRestarted)
{
    const std::string server = addLimitedServer("2");
    const std::size_t grantor = grantorOf(server);
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", Milliseconds(4000));
    cluster.restartHost(grantor);
    play("/again/x", Milliseconds(6000));
    checkLimits(namedAt);
    CHECK_COMPARE(cluster.runsAt(server, namedAt + contactTime), >=, 5);
}

TEST(ServerLimit, holdsWhileTheGrantingHostIsGone)
{
    const std::string server = addLimitedServer("2");
    const std::size_t grantor = grantorOf(server);
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", Milliseconds(3000));
    cluster.killHost(grantor);
    const TimePoint from = RuntimeClock::now();
    play("/again/x", Milliseconds(8000));
    checkLimits(namedAt);
    // The substitute grants half of the limit.
    CHECK_COMPARE(cluster.runsAt(server, from), >=, 4);
}

// A host that starts later knows no limits, and learns of them before it has sent many requests.
TEST(ServerLimit, holdsForAHostThatStartsLater)
{
    const std::string server = addLimitedServer("1");
    cluster.killHost(0);
    const TimePoint namedAt = RuntimeClock::now();
    play("/again/x", Milliseconds(4000));
    cluster.restartHost(0);
    play("/again/x", playTime);
    checkLimits(namedAt);
}

// Guards against a stage home that plans the calls of a limited server over and over while it substitutes for the host
// that grants its permits.
TEST(ServerLimit, ofStagesHoldsWhileAGrantingHostIsGone)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 6);
    cluster.waitUntilReady();
    limitServers("stages", 6, "0.5");
    const TimePoint namedAt = RuntimeClock::now();
    play("/staged/x", Milliseconds(2000), Milliseconds(50));
    cluster.killHost(grantorOf(cluster.serverId("stages", 0)));
    play("/staged/x", Milliseconds(5000), Milliseconds(50));
    checkLimits(namedAt);
}
