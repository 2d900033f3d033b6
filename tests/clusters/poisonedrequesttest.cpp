#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

// Bounds of the users' platform: time in which every host has to know, and retries allowed after it.
constexpr Milliseconds contactTime { 3000 };
constexpr std::size_t allowedRetries = 3;
// Ends of servers after which a request is refused.
constexpr std::size_t refusedEnds = 3;

constexpr std::size_t hostCount = 4;
constexpr Milliseconds step { 50 };

}

TEST_GROUP(PoisonedRequest)
{
    GatewayCluster cluster { hostCount };

    // Sends one request again and again, each time to another host, beside ordinary requests.
    void playReturningRequest(const std::string& path, Milliseconds time)
    {
        constexpr int stepsPerReturn = 5;
        const int steps = static_cast<int>(time / step);
        for (int index = 0; index < steps; ++index) {
            const std::size_t host = static_cast<std::size_t>(index) % hostCount;
            cluster.send(host, path, "ordinary " + std::to_string(index));
            if (index % stepsPerReturn == 0)
                cluster.send(host, path, "poison");
            cluster.runFor(step);
        }
    }

    // Plays a returning request that ends its servers, and checks that it is refused in time.
    void checkReturningRequest(const std::string& path)
    {
        cluster.waitUntilReady();
        playReturningRequest(path, Milliseconds(7000));
        CHECK_TRUE(cluster.runsOf("poison").size() >= 3);
        CHECK_COMPARE(cluster.runsAfterEnds(refusedEnds, "poison", contactTime), <=, allowedRetries);
        checkRefusedRequests(1);
    }

    // Sends a request once through each of the first three hosts, where it ends three servers.
    void endThreeServers()
    {
        for (std::size_t host = 0; host < 3; ++host) {
            cluster.send(host, "/once/x", "poison");
            cluster.runFor(Milliseconds(100));
        }
        LONGS_EQUAL(3, cluster.runsOf("poison").size());
    }

    // Each host refuses this many requests.
    void checkRefusedRequests(int count)
    {
        for (std::size_t host = 0; host < hostCount; ++host)
            DOUBLES_EQUAL(count, cluster.metricOf(host, "apricot_poisoned_requests").value(), 0);
    }
};

TEST(PoisonedRequest, aReturningPlainRequestIsNotSentToServersAfterItEndedThree)
{
    cluster.addServers("plain", 8);
    checkReturningRequest("/again/x");
}

TEST(PoisonedRequest, aReturningStreamIsNotSentToEnginesAfterItEndedThree)
{
    cluster.addServers("engines", 8);
    checkReturningRequest("/stream/x");
}

TEST(PoisonedRequest, aReturningRequestIsNotSentToStageServersAfterItEndedThree)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 8);
    checkReturningRequest("/staged/x");
}

// Guards against limits that start afresh on each host: no host sees more than one of the three ends.
TEST(PoisonedRequest, threeEndsOnThreeHostsAreKnownToAFourthInTime)
{
    cluster.addServers("plain", 8);
    cluster.waitUntilReady();
    endThreeServers();
    cluster.runFor(contactTime);
    for (std::size_t host = 0; host < hostCount; ++host)
        cluster.send(host, "/once/x", "poison");
    cluster.runFor(Milliseconds(300));
    LONGS_EQUAL(3, cluster.runsOf("poison").size());
    LONGS_EQUAL(hostCount, cluster.countResponses("poison", 503));
}

// Guards against limits that start afresh with a process.
TEST(PoisonedRequest, processesThatStartAgainRefuseWhatTheirPredecessorsRefused)
{
    cluster.addServers("plain", 8);
    cluster.waitUntilReady();
    endThreeServers();
    cluster.runFor(Milliseconds(1000));
    for (std::size_t host = 0; host < hostCount; ++host)
        cluster.restartHost(host);
    cluster.waitUntilReady();
    for (std::size_t host = 0; host < hostCount; ++host)
        cluster.send(host, "/once/x", "poison");
    cluster.runFor(Milliseconds(300));
    LONGS_EQUAL(3, cluster.runsOf("poison").size());
}

// Guards against findings that are lost because the store was away when they were made.
TEST(PoisonedRequest, endsDuringAnOutageOfTheStoreAreKnownInTimeAfterIt)
{
    cluster.addServers("plain", 8);
    cluster.waitUntilReady();
    cluster.setStoreFaults(R"({"outage":true})");
    cluster.runFor(Milliseconds(500));
    endThreeServers();
    cluster.runFor(Milliseconds(2000));
    cluster.setStoreFaults("{}");
    cluster.runFor(contactTime);
    cluster.send(3, "/once/x", "poison");
    cluster.runFor(Milliseconds(300));
    LONGS_EQUAL(3, cluster.runsOf("poison").size());
}

// Guards against refusing ordinary requests whose connections break while their servers continue.
TEST(PoisonedRequest, aRequestWhoseConnectionsAreResetIsNotRefused)
{
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    for (int round = 0; round < 8; ++round) {
        for (std::size_t host = 0; host < hostCount; ++host)
            cluster.send(host, "/once/x", "ordinary");
        cluster.runFor(Milliseconds(10));
        cluster.resetConnections("plain");
        cluster.runFor(Milliseconds(200));
    }
    CHECK_TRUE(cluster.countResponses("ordinary", 502) > 0);
    cluster.send(0, "/once/x", "ordinary");
    cluster.runFor(Milliseconds(200));
    LONGS_EQUAL(200, cluster.responses.back().status);
    checkRefusedRequests(0);
}

// Guards against refusing a popular request because it is in flight on many servers that end: it also
// finishes on others.
TEST(PoisonedRequest, aPopularRequestIsNotRefusedWhenAnotherEndsItsServers)
{
    cluster.addServers("plain", 12);
    cluster.waitUntilReady();
    for (int round = 0; round < 24; ++round) {
        const std::size_t host = static_cast<std::size_t>(round) % hostCount;
        for (int repeat = 0; repeat < 3; ++repeat)
            cluster.send(host, "/again/x", "ordinary");
        cluster.send(host, "/once/x", "poison " + std::to_string(round % 3));
        cluster.runFor(2 * step);
    }
    cluster.runFor(contactTime);
    checkRefusedRequests(3);
    cluster.send(0, "/again/x", "ordinary");
    cluster.runFor(Milliseconds(300));
    LONGS_EQUAL(200, cluster.responses.back().status);
}

// Guards against refusing a popular request for long because all servers it ran on ended at the same time for
// another reason.
TEST(PoisonedRequest, aRequestThatWasOnServersThatEndedTogetherIsServedAgain)
{
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    for (std::size_t host = 0; host < hostCount; ++host) {
        for (int repeat = 0; repeat < 4; ++repeat)
            cluster.send(host, "/once/x", "ordinary");
    }
    cluster.runFor(Milliseconds(15));
    cluster.endServers("plain");
    cluster.runFor(Milliseconds(1500));
    checkRefusedRequests(1);
    for (int round = 0; round < 50; ++round) {
        cluster.send(static_cast<std::size_t>(round) % hostCount, "/once/x", "ordinary");
        cluster.runFor(Milliseconds(100));
    }
    checkRefusedRequests(0);
    LONGS_EQUAL(200, cluster.responses[cluster.responses.size() - 2].status);
}

TEST_GROUP(PoisonedRequestRelayed) {};

// Guards against findings that arrive too late where most hosts read the store through others.
TEST(PoisonedRequestRelayed, aLargeSystemKnowsThreeEndsInTime)
{
    constexpr std::size_t relayedHosts = 14;
    GatewayCluster large(relayedHosts);
    large.addServers("plain", 6);
    large.waitUntilReady();
    for (std::size_t host = 0; host < 3; ++host) {
        large.send(host, "/once/x", "poison");
        large.runFor(Milliseconds(100));
    }
    LONGS_EQUAL(3, large.runsOf("poison").size());
    large.runFor(contactTime);
    for (std::size_t host = 0; host < relayedHosts; ++host)
        large.send(host, "/once/x", "poison");
    large.runFor(Milliseconds(500));
    CHECK_COMPARE(large.runsOf("poison").size(), <=, 3 + allowedRetries);
    LONGS_EQUAL(relayedHosts, large.countResponses("poison", 503));
}
