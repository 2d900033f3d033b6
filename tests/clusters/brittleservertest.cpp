#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

constexpr std::size_t hostCount = 4;
constexpr int serverCount = 6;
constexpr int brittleLimit = 6;
constexpr Milliseconds runTime { 130 };
constexpr Milliseconds playTime { 12'000 };
// From this time after they first said so, servers may let fewer requests wait.
constexpr Milliseconds contactTime { 3000 };
// Bound of the users' platform: a few servers may end, and a share of them.
constexpr double allowedFalls = 2 + serverCount * 0.1;

}

TEST_GROUP(BrittleServer)
{
    GatewayCluster cluster { hostCount };
    int requests = 0;

    // Sends 250 requests a second, of which the servers can run 185, to hosts in this order.
    void play(Milliseconds time, const std::vector<std::size_t>& hosts)
    {
        constexpr Milliseconds step { 4 };
        const TimePoint end = RuntimeClock::now() + time;
        for (TimePoint next = RuntimeClock::now(); next < end; next += step) {
            const auto number = static_cast<std::size_t>(requests++);
            cluster.send(hosts[number % hosts.size()], "/once/x", "ordinary");
            if (RuntimeClock::now() < next + step)
                cluster.runFor(std::chrono::ceil<Milliseconds>(next + step - RuntimeClock::now()));
        }
    }

    void checkOverload(const std::vector<std::size_t>& hosts, double minServedShare)
    {
        cluster.runTime = runTime;
        cluster.room = ServerRoom { .slots = 4, .waiting = 4, .brittleLimit = brittleLimit };
        cluster.addServers("plain", serverCount);
        cluster.waitUntilReady();
        play(contactTime, hosts);
        cluster.room->waiting = 1;
        play(playTime - contactTime, hosts);
        cluster.runFor(Milliseconds(1000));
        CHECK_COMPARE(cluster.falls, <=, allowedFalls);
        const double fitting = std::chrono::duration<double>(playTime) / std::chrono::duration<double>(runTime)
            * serverCount * static_cast<double>(cluster.room->slots);
        CHECK_COMPARE(static_cast<double>(cluster.countResponses("ordinary", 200)), >=, minServedShare * fitting);
        LONGS_EQUAL(requests, cluster.countResponses("ordinary", 200) + cluster.countResponses("ordinary", 503) + cluster.countResponses("ordinary", 502));
    }
};

// Guards against hosts that each try servers without room in turn, until they end.
TEST(BrittleServer, isNotEndedByAnOverload)
{
    checkOverload({ 0, 1, 2, 3 }, 0.5);
}

TEST(BrittleServer, isNotEndedByAnOverloadOfOneHost)
{
    checkOverload({ 0, 0, 0, 1, 2, 3 }, 0.3);
}
