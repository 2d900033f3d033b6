#include "gatewaycluster.h"

#include "clustersupport.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

// Hosts that each read the store themselves.
constexpr std::size_t hostCount = 3;
// Bounds of the users' smaller deployments: how long after the end of a disturbance a host counts as sound again, and how long
// after its acknowledgement a version has to be in force.
constexpr Milliseconds contactTime { 3000 };
constexpr Milliseconds applyTime { 2000 };
constexpr Milliseconds pollInterval { 2 };

}

// How old the configuration of a host becomes while calls to the store have no response.
TEST_GROUP(ConfigAge)
{
    GatewayCluster cluster { hostCount };

    void setup() override
    {
        cluster.addServers("plain", 2);
        cluster.waitUntilReady();
    }

    // Runs until a watch has just begun, so that it waits as long as any watch.
    void runUntilAWatchBegins()
    {
        const std::size_t before = cluster.storeCalls("watches");
        const TimePoint end = RuntimeClock::now() + Milliseconds(5000);
        while (cluster.storeCalls("watches") == before && RuntimeClock::now() < end)
            cluster.runFor(pollInterval);
    }
    void runUntilTime(TimePoint time)
    {
        cluster.runFor(std::chrono::ceil<Milliseconds>(std::max(time - RuntimeClock::now(), Duration(0))));
    }
    int statusOf(std::size_t host, const std::string& path)
    {
        return cluster.call(host, { .path = path, .content = "x" }).status;
    }
};

// Guards against a change that waits for the end of a call that the store will never answer, and of the pause after it.
TEST(ConfigAge, aChangeAfterAShortSilenceOfTheStoreIsInForceInTime)
{
    runUntilAWatchBegins();
    cluster.setStoreFaults(R"({"silent":true})");
    cluster.setStoreFaults("{}");
    const TimePoint returnedAt = RuntimeClock::now();
    cluster.runFor(Milliseconds(100));
    cluster.writeObject("config/main", clusterConfigWithAddedRoute());
    runUntilTime(returnedAt + contactTime);
    for (std::size_t host = 0; host < hostCount; ++host)
        LONGS_EQUAL(200, statusOf(host, "/added/x"));
}

// Guards against a refusal that a retry cannot mend, sent for a route that the host only does not know yet.
TEST(ConfigAge, aRouteThatAnOutdatedConfigurationLacksIsNotRefusedForGood)
{
    LONGS_EQUAL(404, statusOf(0, "/added/x"));
    cluster.setStoreFaults(R"({"silent":true})");
    cluster.runFor(contactTime);
    const ClusterResponse response = cluster.call(0, { .path = "/added/x", .content = "x" });
    LONGS_EQUAL(503, response.status);
    CHECK_FALSE(response.retryAfter.empty());
    // What it allows is served as before.
    LONGS_EQUAL(200, statusOf(0, "/again/x"));
    cluster.setStoreFaults("{}");
    cluster.runFor(contactTime);
    LONGS_EQUAL(404, statusOf(0, "/added/x"));
}

// Guards against a host that starts and is ready with an old configuration, because one kind of objects cannot be read.
TEST(ConfigAge, aHostThatStartsIsNotReadyBeforeItsConfigurationIsConfirmed)
{
    cluster.writeObject("config/main", clusterConfigWithAddedRoute());
    cluster.runFor(applyTime);
    cluster.setStoreFaults(R"({"stale_list_lag":1,"delay_ms":300,"unavailable_kinds":["apricot-poison"]})");
    cluster.restartHost(0);
    const TimePoint end = RuntimeClock::now() + contactTime;
    while (!cluster.isReady(0) && RuntimeClock::now() < end)
        cluster.runFor(pollInterval);
    CHECK_TRUE(cluster.isReady(0));
    LONGS_EQUAL(200, statusOf(0, "/added/x"));
}
