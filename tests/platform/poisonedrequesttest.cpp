#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

// Bounds of the users' platform: time in which every host has to know, and retries allowed after it.
constexpr Milliseconds contactTime { 3000 };
constexpr std::size_t allowedRetries = 3;

constexpr std::size_t hostCount = 4;
constexpr Milliseconds step { 50 };

// Sends one request again and again, each time to another host, beside ordinary requests.
void playReturningRequest(GatewayCluster& cluster, const std::string& path, Milliseconds time)
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

}

TEST_GROUP(PoisonedRequest)
{
    GatewayCluster cluster { hostCount };
};

TEST(PoisonedRequest, aReturningPlainRequestIsNotSentToServersAfterItEndedThree)
{
    cluster.addServers("plain", 8);
    cluster.waitUntilReady();
    playReturningRequest(cluster, "/again/x", Milliseconds(7000));
    CHECK_TRUE(cluster.runsOf("poison").size() >= 3);
    CHECK_COMPARE(cluster.runsAfterThirdEnd("poison", contactTime), <=, allowedRetries);
}

TEST(PoisonedRequest, aReturningStreamIsNotSentToEnginesAfterItEndedThree)
{
    cluster.addServers("engines", 8);
    cluster.waitUntilReady();
    playReturningRequest(cluster, "/stream/x", Milliseconds(7000));
    CHECK_TRUE(cluster.runsOf("poison").size() >= 3);
    CHECK_COMPARE(cluster.runsAfterThirdEnd("poison", contactTime), <=, allowedRetries);
}

TEST(PoisonedRequest, aReturningRequestIsNotSentToStageServersAfterItEndedThree)
{
    cluster.addServers("engines", 2);
    cluster.addServers("stages", 8);
    cluster.waitUntilReady();
    playReturningRequest(cluster, "/staged/x", Milliseconds(7000));
    CHECK_TRUE(cluster.runsOf("poison").size() >= 3);
    CHECK_COMPARE(cluster.runsAfterThirdEnd("poison", contactTime), <=, allowedRetries);
}
