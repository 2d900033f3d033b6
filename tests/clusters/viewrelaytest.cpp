#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Apricot;

namespace {

// More hosts than those that each watch the store, and enough for a tree of three levels.
constexpr std::size_t hostCount = 28;
constexpr Milliseconds settleTime { 3000 };
constexpr Milliseconds observedTime { 6000 };

constexpr int firstServers = 3;

// Adds servers to a fleet that starts, and runs until its hosts have found their places in the relay tree.
void settle(GatewayCluster& cluster)
{
    cluster.addServers("plain", firstServers);
    cluster.waitUntilReady();
    cluster.runFor(settleTime);
}

double serversKnownTo(GatewayCluster& cluster, std::size_t host)
{
    return cluster.metricOf(host, "apricot_backend_servers").value_or(0);
}

// Checks that the hosts from a position on know of one more server.
void checkHostsKnowTheNewServer(GatewayCluster& cluster, std::size_t firstHost = 0)
{
    for (std::size_t host = firstHost; host < hostCount; ++host)
        DOUBLES_EQUAL(firstServers + 1, serversKnownTo(cluster, host), 0);
}

}

// How what the store contains reaches the hosts of a larger fleet, of which few call the store.
TEST_GROUP(ViewRelay) {
    static std::size_t callsToStore(GatewayCluster & cluster) {
        return cluster.storeCalls("reads") + cluster.storeCalls("watches") + cluster.storeCalls("writes");
}
}
;

// Guards against calls that grow with the hosts: those by which hosts refresh what their peers relay too late, and those
// of hosts that watch on behalf of others.
TEST(ViewRelay, fewHostsCallTheStoreOfAFleetAtRest)
{
    GatewayCluster cluster { hostCount };
    settle(cluster);
    const std::size_t before = callsToStore(cluster);
    cluster.runFor(observedTime);
    // Two watching hosts, with at most one call a second for each of five kinds of objects.
    const std::size_t calls = callsToStore(cluster) - before;
    CHECK_COMPARE(calls, <=, 10 * observedTime.count() / 1000);
    for (std::size_t host = 0; host < hostCount; ++host)
        CHECK_EQUAL(0, cluster.metricsOf(host).find("reason=\"outdated\"") != std::string::npos);
}

// Guards against each of the hosts of a larger fleet that reads all kinds of objects in full and watches them before it
// knows that its peers do.
TEST(ViewRelay, aHostThatStartsCallsTheStoreAFewTimes)
{
    GatewayCluster cluster { hostCount };
    settle(cluster);
    const std::size_t restarted = hostCount / 2;
    const std::size_t before = callsToStore(cluster);
    for (std::size_t host = 0; host < restarted; ++host)
        cluster.restartHost(host);
    cluster.waitUntilReady();
    cluster.runFor(Milliseconds(1500));
    // Its registration, the list of hosts, and the share of those that watch on behalf of the others.
    CHECK_COMPARE(callsToStore(cluster) - before, <=, restarted * 4 + 15);
}

// Guards against changes that take a poll at each level of the tree.
TEST(ViewRelay, aChangeReachesAllHostsAtOnce)
{
    GatewayCluster cluster { hostCount };
    settle(cluster);
    cluster.addServers("plain", 1);
    // A batch of changes at the watching host, and the way through the tree.
    cluster.runFor(Milliseconds(700));
    checkHostsKnowTheNewServer(cluster);
}

// Guards against hosts that stay with a parent that does not respond.
TEST(ViewRelay, aChangeReachesHostsWhoseParentsAreSuspended)
{
    GatewayCluster cluster { hostCount };
    settle(cluster);
    const std::size_t suspended = hostCount / 4;
    for (std::size_t host = 0; host < suspended; ++host)
        cluster.setSuspended(host, true);
    cluster.runFor(Milliseconds(200));
    cluster.addServers("plain", 1);
    // The configuration has to be in force, and departing servers must get no new work, within two seconds.
    cluster.runFor(Milliseconds(2000));
    checkHostsKnowTheNewServer(cluster, suspended);
}

// Guards against all hosts calling a store that does not respond, again and again, although they learn of its return
// through others.
TEST(ViewRelay, mostHostsLeaveItToOthersToFindOutThatTheStoreIsBack)
{
    GatewayCluster cluster { hostCount };
    settle(cluster);
    cluster.setStoreFaults(R"({"outage":true})");
    const std::size_t before = callsToStore(cluster);
    cluster.runFor(observedTime);
    // Two watching hosts, each of whose five watches ends and is tried once more, and the sixteen below them call once a
    // second, the others once in three seconds. A host that calls at an interval has one call more than whole intervals.
    constexpr std::size_t seconds = observedTime.count() / 1000;
    constexpr std::size_t frequentCallers = 18;
    constexpr std::size_t firstCalls = 2UL * 5 * 2 + hostCount;
    constexpr std::size_t laterCalls = frequentCallers * seconds + (hostCount - frequentCallers) * seconds / 3;
    CHECK_COMPARE(callsToStore(cluster) - before, <=, firstCalls + laterCalls);
    cluster.setStoreFaults("{}");
    cluster.addServers("plain", 1);
    cluster.runFor(Milliseconds(1500));
    checkHostsKnowTheNewServer(cluster);
}

// Guards against hosts that serve as they did seconds ago, because the list that they start from is allowed to be old.
TEST(ViewRelay, aHostThatStartsFromAnOldListIsReadyOnceItKnowsTheChangesSince)
{
    for (const std::size_t hosts : { std::size_t(2), hostCount }) {
        GatewayCluster cluster { hosts };
        cluster.addServers("plain", 6);
        cluster.waitUntilReady();
        cluster.runFor(settleTime);
        cluster.setStoreFaults(R"({"stale_list_lag":5})");
        cluster.restartHost(0);
        cluster.waitUntilReady();
        DOUBLES_EQUAL(6, serversKnownTo(cluster, 0), 0);
    }
}
