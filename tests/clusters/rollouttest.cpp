#include "gatewaycluster.h"

#include "clustersupport.h"

#include "libapricot/rendezvous.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/object.hpp>

using namespace Apricot;

namespace {

constexpr double exposureShare = 0.1;
constexpr double limitSeconds = 10;
constexpr int serversPerVersion = 6;
// Time between two requests of all callers together.
constexpr Milliseconds requestInterval { 12 };

}

// Orders to roll out a version over gateways with sockets. Runs are counted at the servers.
TEST_GROUP(RolloutCluster)
{
    std::map<std::string, std::vector<TimePoint>> runsOf;
    bool isTargetBad = false;
    int sent = 0;

    void addServers(GatewayCluster & cluster, const std::string& version)
    {
        const auto script = [this, version](const HttpRequest&) -> ScriptedResponse {
            std::vector<TimePoint>& runs = runsOf[version];
            runs.push_back(RuntimeClock::now());
            // Every second answer of a bad version is none.
            if (version == "v2" && isTargetBad && runs.size() % 2 == 0)
                return { .parts = { "x" }, .isComplete = false, .end = ConnectionEnd::Reset };
            return { .parts = { "done" } };
        };
        for (int index = 0; index < serversPerVersion; ++index)
            cluster.addScriptedServer("plain", version, script);
    }

    void start(GatewayCluster & cluster)
    {
        addServers(cluster, "v1");
        cluster.waitUntilReady();
        cluster.writeObject("rollouts/plain",
            boost::json::object { { "service", "plain" }, { "target", "v2" }, { "durationS", limitSeconds } });
        cluster.runFor(Milliseconds(1200));
        addServers(cluster, "v2");
    }

    static std::string stateOf(GatewayCluster & cluster)
    {
        const boost::json::value status = cluster.statusOf("rollouts/plain");
        return status.is_object() ? std::string(status.at("state").as_string()) : std::string();
    }

    // Sends requests to hosts in turn until the roll-out has ended, or for a time at most. Returns its state.
    std::string runUntilEnded(GatewayCluster & cluster, const std::vector<std::size_t>& hosts, Milliseconds timeout)
    {
        const TimePoint endsAt = RuntimeClock::now() + timeout;
        std::string state;
        while (RuntimeClock::now() < endsAt && state != "completed" && state != "reverted") {
            for (int request = 0; request < 40; ++request) {
                cluster.send(hosts[static_cast<std::size_t>(sent) % hosts.size()], "/again/x", "request " + std::to_string(sent));
                ++sent;
                cluster.runFor(requestInterval);
            }
            state = stateOf(cluster);
        }
        return state;
    }

    std::size_t runsAfter(const std::string& version, TimePoint from)
    {
        const auto& runs = runsOf[version];
        return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(), [from](TimePoint at) { return at >= from; }));
    }

    static std::vector<std::size_t> firstHosts(std::size_t count)
    {
        std::vector<std::size_t> hosts;
        for (std::size_t host = 0; host < count; ++host)
            hosts.push_back(host);
        return hosts;
    }

    void checkBadVersion(std::size_t hostCount)
    {
        isTargetBad = true;
        GatewayCluster cluster(hostCount, ClusterRetries::Allowed, exposureShare);
        start(cluster);
        STRCMP_EQUAL("reverted", runUntilEnded(cluster, firstHosts(hostCount), Milliseconds(12'000)).c_str());
        cluster.runFor(Milliseconds(1500));
        const TimePoint revertedAt = RuntimeClock::now();
        for (int request = 0; request < 100; ++request) {
            cluster.send(static_cast<std::size_t>(request) % hostCount, "/again/x", "later " + std::to_string(request));
            cluster.runFor(requestInterval);
        }
        LONGS_EQUAL(0, runsAfter("v2", revertedAt));
        CHECK(runsAfter("v1", revertedAt) >= 100);
        // The share of what was sent until then, far less than until the limit; ten are three standard deviations.
        CHECK(static_cast<double>(runsOf["v2"].size()) <= exposureShare * sent + 10);
    }
};

// Guards against a good version that is not brought in, and against requests at old servers once they may stop.
TEST(RolloutCluster, completesAGoodVersion)
{
    GatewayCluster cluster(3, ClusterRetries::Allowed, exposureShare);
    start(cluster);
    STRCMP_EQUAL("completed", runUntilEnded(cluster, firstHosts(3), Milliseconds(12'000)).c_str());
    const TimePoint completedAt = RuntimeClock::now();
    const std::size_t before = cluster.responses.size();
    for (int request = 0; request < 60; ++request) {
        cluster.send(static_cast<std::size_t>(request) % 3, "/once/x", "later " + std::to_string(request));
        cluster.runFor(requestInterval);
    }
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(0, runsAfter("v1", completedAt));
    for (std::size_t index = before; index < cluster.responses.size(); ++index)
        LONGS_EQUAL(200, cluster.responses[index].status);
}

TEST(RolloutCluster, revertsABadVersionWithThreeHosts)
{
    checkBadVersion(3);
}

TEST(RolloutCluster, revertsABadVersionWithTwelveHosts)
{
    checkBadVersion(12);
}

// Guards against a roll-out that ends only if the host that acts on it lives.
TEST(RolloutCluster, completesAGoodVersionAfterTheActingHostEnded)
{
    GatewayCluster cluster(3, ClusterRetries::Allowed, exposureShare);
    start(cluster);
    const HostId acting = rankHosts("relay", { HostId("host-0"), HostId("host-1"), HostId("host-2") }).front();
    std::vector<std::size_t> others;
    for (std::size_t host = 0; host < 3; ++host) {
        if (acting == HostId("host-" + std::to_string(host)))
            cluster.killHost(host);
        else
            others.push_back(host);
    }
    STRCMP_EQUAL("completed", runUntilEnded(cluster, others, Milliseconds(13'000)).c_str());
}

// Guards against steps of a host that stood still while others ended the roll-out.
TEST(RolloutCluster, keepsAFinalStateWhenTheActingHostWakes)
{
    GatewayCluster cluster(3, ClusterRetries::Allowed, exposureShare);
    start(cluster);
    cluster.runFor(Milliseconds(1000));
    const HostId acting = rankHosts("relay", { HostId("host-0"), HostId("host-1"), HostId("host-2") }).front();
    std::vector<std::size_t> others;
    std::size_t actingIndex = 0;
    for (std::size_t host = 0; host < 3; ++host) {
        if (acting == HostId("host-" + std::to_string(host)))
            actingIndex = host;
        else
            others.push_back(host);
    }
    cluster.setSuspended(actingIndex, true);
    isTargetBad = true;
    STRCMP_EQUAL("reverted", runUntilEnded(cluster, others, Milliseconds(12'000)).c_str());
    cluster.setSuspended(actingIndex, false);
    cluster.runFor(Milliseconds(3000));
    STRCMP_EQUAL("reverted", stateOf(cluster).c_str());
    const TimePoint wokenAt = RuntimeClock::now();
    for (int request = 0; request < 40; ++request) {
        cluster.send(actingIndex, "/again/x", "later " + std::to_string(request));
        cluster.runFor(requestInterval);
    }
    LONGS_EQUAL(0, runsAfter("v2", wokenAt));
}

// Guards against a bad version that goes on while the store does not answer.
TEST(RolloutCluster, stopsSendingToABadVersionWhileTheStoreIsDown)
{
    GatewayCluster cluster(3, ClusterRetries::Allowed, exposureShare);
    start(cluster);
    cluster.runFor(Milliseconds(500));
    isTargetBad = true;
    cluster.setStoreFaults(R"({"outage":true})");
    for (int request = 0; request < 600; ++request) {
        cluster.send(static_cast<std::size_t>(request) % 3, "/again/x", "request " + std::to_string(request));
        cluster.runFor(Milliseconds(8));
    }
    const TimePoint stoppedAt = RuntimeClock::now();
    CHECK(!runsOf["v2"].empty());
    for (int request = 0; request < 100; ++request) {
        cluster.send(static_cast<std::size_t>(request) % 3, "/again/x", "later " + std::to_string(request));
        cluster.runFor(requestInterval);
    }
    LONGS_EQUAL(0, runsAfter("v2", stoppedAt));
    cluster.setStoreFaults("{}");
    STRCMP_EQUAL("reverted", runUntilEnded(cluster, firstHosts(3), Milliseconds(6000)).c_str());
}

// Guards against an order that keeps servers from requests although it cannot be followed.
TEST(RolloutCluster, ignoresAnOrderThatCannotBeRead)
{
    GatewayCluster cluster(3, ClusterRetries::Allowed, exposureShare);
    addServers(cluster, "v1");
    cluster.waitUntilReady();
    cluster.writeObject("rollouts/plain", boost::json::object { { "service", "plain" }, { "target", 7 } });
    cluster.writeObject("rollouts/other",
        boost::json::object { { "service", "other" }, { "target", "v2" }, { "durationS", 5 } });
    cluster.runFor(Milliseconds(2500));
    CHECK(stateOf(cluster).empty());
    STRCMP_EQUAL("reverted", std::string(cluster.statusOf("rollouts/other").at("state").as_string()).c_str());
    LONGS_EQUAL(200, cluster.call(1, { .path = "/again/x", .content = "one" }).status);
}
