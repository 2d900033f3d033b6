#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

// Bound of the users' platform for the last work that a leaving server gets.
constexpr Milliseconds drainTime { 2000 };
// Time for which the words of an older copy may contradict what the hosts know.
constexpr Milliseconds settleTime { 5000 };
constexpr Milliseconds step { 25 };

constexpr const char* loseLastChange = R"({"lose_changes":1})";

}

TEST_GROUP(OlderStoreCopy) {
    // Sends requests to all hosts in turn.
    static void play(GatewayCluster & cluster, std::size_t hosts, Milliseconds time) {
        const int steps = static_cast<int>(time / step);
for (int index = 0; index < steps; ++index) {
    cluster.send(static_cast<std::size_t>(index) % hosts, "/again/x", "ordinary");
    cluster.runFor(step);
}
}

// Three hosts send requests to a server.
static void checkUsed(GatewayCluster& cluster, const std::string& server)
{
    const TimePoint from = RuntimeClock::now();
    play(cluster, 3, Milliseconds(1000));
    CHECK_COMPARE(cluster.runsAt(server, from), >, 5);
}

// The store comes back without its last change; returns when.
static TimePoint restore(GatewayCluster& cluster)
{
    cluster.runFor(drainTime + Milliseconds(300));
    cluster.setStoreFaults(loseLastChange);
    return RuntimeClock::now();
}
}
;

// Guards against work sent to a server that had said it leaves, because the older copy still lists it as ready.
TEST(OlderStoreCopy, aLeavingServerGetsNoWork)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    const std::string leaving = cluster.reportServer("plain", 0, "draining", 2);
    const TimePoint restoredAt = restore(cluster);
    play(cluster, 3, Milliseconds(4000));
    LONGS_EQUAL(0, cluster.runsAt(leaving, restoredAt));
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >, 100);
}

// The same for hosts that read the store through others.
TEST(OlderStoreCopy, aLeavingServerGetsNoWorkFromRelayedHosts)
{
    constexpr std::size_t hosts = 12;
    GatewayCluster cluster(hosts);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    const std::string leaving = cluster.reportServer("plain", 0, "draining", 2);
    cluster.runFor(drainTime);
    const TimePoint restoredAt = restore(cluster);
    play(cluster, hosts, Milliseconds(4000));
    LONGS_EQUAL(0, cluster.runsAt(leaving, restoredAt));
}

// Guards against work sent to a removed server, because the older copy still lists it.
TEST(OlderStoreCopy, aRemovedServerGetsNoWork)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    const std::string removed = cluster.removeServer("plain", 0);
    const TimePoint restoredAt = restore(cluster);
    play(cluster, 3, Milliseconds(4000));
    LONGS_EQUAL(0, cluster.runsAt(removed, restoredAt));
}

// Guards against work sent to a failure domain out of service, because the older copy lacks that.
TEST(OlderStoreCopy, aFailureDomainOutOfServiceGetsNoWork)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    cluster.writeObject("evacuations/zone-0", { { "zone", "zone-0" } });
    cluster.runFor(drainTime);
    const TimePoint restoredAt = restore(cluster);
    play(cluster, 3, Milliseconds(4000));
    const std::string evacuated = cluster.serverId("plain", 0);
    LONGS_EQUAL(0, cluster.runsAt(evacuated, restoredAt));
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >, 100);
}

// What the store says after the return is news: a later report of the server, or the end of the evacuation.
TEST(OlderStoreCopy, aServerThatReportsAgainGetsWorkAtOnce)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    cluster.removeServer("plain", 0);
    restore(cluster);
    cluster.runFor(Milliseconds(1000));
    const std::string returned = cluster.reportServer("plain", 0, "ready", 3);
    cluster.runFor(Milliseconds(1000));
    checkUsed(cluster, returned);
}

// A removed server whose entry stands beyond the time after which the store removes silent ones is alive.
TEST(OlderStoreCopy, aRemovedServerThatStaysListedGetsWorkAgain)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    const std::string removed = cluster.removeServer("plain", 0);
    restore(cluster);
    cluster.runFor(settleTime + Milliseconds(1500));
    checkUsed(cluster, removed);
}

TEST(OlderStoreCopy, aFailureDomainReturnsAfterATimeIfTheStoreDoesNotListIt)
{
    GatewayCluster cluster(3);
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    cluster.writeObject("evacuations/zone-0", { { "zone", "zone-0" } });
    restore(cluster);
    cluster.runFor(settleTime + Milliseconds(1500));
    checkUsed(cluster, cluster.serverId("plain", 0));
}
