#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

// Bounds of the users' platform: from a time after the cut, first tries at hosts without links are served at least two
// thirds as often as those at the others, or at most this many of them fail: some, and a share of all first tries.
constexpr Milliseconds contactTime { 3000 };
constexpr double minServedRatio = 2.0 / 3.0;
constexpr double allowedFailures = 10;
constexpr double allowedFailureShare = 1.0 / 50.0;
// Time after the end of a cut in which links are used again.
constexpr Milliseconds regainTime { 1500 };

constexpr std::size_t hostCount = 6;
constexpr std::size_t cutHosts = 4;
constexpr Milliseconds measuredTime { 6000 };
constexpr Milliseconds step { 20 };

struct Served {
    double sent = 0;
    double served = 0;
    double share() const { return sent == 0 ? 1 : served / sent; }
    double failed() const { return sent - served; }
};

}

TEST_GROUP(LostLinks)
{
    GatewayCluster cluster { hostCount };
    int requests = 0;
    // Hosts that requests were sent to, by the position of the response.
    std::vector<std::size_t> hosts;

    void setup() override { cluster.forwardsLinks = true; }

    void sendTo(std::size_t host, const ClusterRequest& request)
    {
        hosts.push_back(host);
        cluster.send(host, request);
    }

    // Sends requests with these paths to all hosts in turn.
    void play(const std::vector<std::string>& paths, Milliseconds time, std::size_t hostsInTurn = hostCount)
    {
        for (int index = 0; index < time / step; ++index) {
            const auto number = static_cast<std::size_t>(requests++);
            const std::string& path = paths[number / hostsInTurn % paths.size()];
            sendTo(number % hostsInTurn, { .path = path, .content = "ordinary " + std::to_string(number) });
            cluster.runFor(step);
        }
    }

    void cut(std::size_t count, LinkFault fault, const std::string& pool = "")
    {
        for (std::size_t host = 0; host < count; ++host)
            cluster.cutLinks(host, fault, pool);
    }

    // Requests sent since a time to some hosts.
    Served servedBy(std::size_t first, std::size_t end, TimePoint from) const
    {
        Served counts;
        for (std::size_t index = 0; index < hosts.size(); ++index) {
            const ClusterResponse& response = cluster.responses[index];
            if (response.sentAt < from || hosts[index] < first || hosts[index] >= end)
                continue;
            ++counts.sent;
            counts.served += response.isComplete && response.status == 200 ? 1 : 0;
        }
        return counts;
    }

    void checkServed(TimePoint cutAt, std::size_t count, std::size_t all = hostCount)
    {
        const Served atCut = servedBy(0, count, cutAt + contactTime);
        const Served atOthers = servedBy(count, all, cutAt + contactTime);
        CHECK_COMPARE(atCut.share(), >=, minServedRatio * atOthers.share());
        const double allowed = allowedFailures + allowedFailureShare * (atCut.sent + atOthers.sent);
        CHECK_COMPARE(atCut.failed(), <=, allowed);
        CHECK_COMPARE(atOthers.failed(), <=, allowed);
    }

    // Cuts the links of some hosts under load, and checks what their callers get.
    void checkCut(LinkFault fault)
    {
        cluster.addServers("plain", 4);
        cluster.addServers("engines", 4);
        cluster.waitUntilReady();
        const std::vector<std::string> paths { "/once/x", "/again/x", "/stream/x" };
        play(paths, Milliseconds(1000));
        cut(cutHosts, fault);
        const TimePoint cutAt = RuntimeClock::now();
        play(paths, contactTime + measuredTime);
        cluster.runFor(Milliseconds(1000));
        checkServed(cutAt, cutHosts);
    }
};

TEST(LostLinks, thatRefuseNewConnectionsAreGoneRound)
{
    cluster.closesConnections = true;
    checkCut(LinkFault::RefusesNew);
}

TEST(LostLinks, thatAreResetAreGoneRound)
{
    checkCut(LinkFault::Resets);
}

TEST(LostLinks, thatFallSilentAreGoneRound)
{
    checkCut(LinkFault::Silent);
}

// Guards against hosts without links that keep running stages for the others.
TEST(LostLinks, ofMostHostsLeaveStagesToTheOthers)
{
    cluster.addServers("engines", 4);
    cluster.addServers("stages", 6);
    cluster.waitUntilReady();
    const std::vector<std::string> paths { "/staged/x" };
    play(paths, Milliseconds(1000));
    cut(cutHosts, LinkFault::Silent);
    const TimePoint cutAt = RuntimeClock::now();
    play(paths, contactTime + measuredTime);
    cluster.runFor(Milliseconds(1000));
    checkServed(cutAt, cutHosts);
}

// Guards against a host that takes its own lost links for the end of servers, and its requests for the cause.
TEST(LostLinks, areNoCrashesOfServers)
{
    cluster.runTime = Milliseconds(600);
    cluster.addServers("engines", 6);
    cluster.waitUntilReady();
    const std::vector<HttpField> parts { { std::string(Names::promptPartsField), "shared:100,own:10" } };
    for (int round = 0; round < 40; ++round) {
        if (round == 20)
            cut(cutHosts, LinkFault::Resets);
        sendTo(static_cast<std::size_t>(round) % hostCount,
            { .path = "/live/x", .content = "ordinary " + std::to_string(round), .fields = parts });
        cluster.runFor(Milliseconds(50));
    }
    for (std::size_t host = 0; host < hostCount; ++host) {
        DOUBLES_EQUAL(0, cluster.metricOf(host, "apricot_server_crashes_total").value_or(0), 0);
        DOUBLES_EQUAL(0, cluster.metricOf(host, "apricot_suspect_parts").value(), 0);
    }
    cluster.cutLinks(0, LinkFault::None);
    cut(cutHosts, LinkFault::None);
    cluster.runFor(regainTime);
    const TimePoint healedAt = RuntimeClock::now();
    for (std::size_t host = 0; host < hostCount; ++host)
        sendTo(host, { .path = "/live/x", .content = "ordinary again", .fields = parts });
    cluster.runFor(Milliseconds(1500));
    DOUBLES_EQUAL(0, servedBy(0, hostCount, healedAt).failed(), 0);
}

// A response that ends in order with its connection is complete if only the link was lost then.
TEST(LostLinks, doNotMakeResponsesIncomplete)
{
    cluster.addScriptedServer("plain", "v1", [](const HttpRequest&) {
        return ScriptedResponse { .parts = { "done" }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Close };
    });
    cluster.waitUntilReady();
    cluster.call(0, { .path = "/once/x", .content = "ordinary" });
    const std::size_t host = 0;
    hosts.push_back(host);
    cluster.send(host, { .path = "/once/x", .content = "ordinary" });
    while (cluster.connectionsFrom(host) < 2)
        cluster.runFor(Milliseconds(1));
    cluster.runFor(Milliseconds(5));
    cluster.cutLinks(host, LinkFault::RefusesNew);
    cluster.runFor(Milliseconds(1000));
    LONGS_EQUAL(200, cluster.responses.back().status);
}

TEST(LostLinks, ofAHostThatStartsWithoutAnyAreGoneRound)
{
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    cut(1, LinkFault::Silent);
    cluster.restartHost(0);
    cluster.runFor(Milliseconds(1500));
    const TimePoint startedAt = RuntimeClock::now();
    const std::vector<std::string> paths { "/again/x" };
    play(paths, contactTime + measuredTime);
    cluster.runFor(Milliseconds(500));
    checkServed(startedAt, 1);
}

// Nothing is held or passed round when no host reaches a server.
TEST(LostLinks, ofAllHostsRefuseAtOnce)
{
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    cut(hostCount, LinkFault::Silent);
    const std::vector<std::string> paths { "/again/x" };
    play(paths, contactTime);
    for (std::size_t host = 0; host < hostCount; ++host) {
        const TimePoint sentAt = RuntimeClock::now();
        const ClusterResponse response = cluster.call(host, { .path = "/again/x", .content = "late" });
        LONGS_EQUAL(503, response.status);
        CHECK_TRUE(RuntimeClock::now() - sentAt < Milliseconds(300));
    }
}

TEST(LostLinks, areUsedAgainOnceTheyAreBack)
{
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    const std::vector<std::string> paths { "/again/x" };
    play(paths, Milliseconds(500));
    cut(cutHosts, LinkFault::Resets);
    play(paths, contactTime);
    cut(cutHosts, LinkFault::None);
    play(paths, regainTime);
    for (std::size_t host = 0; host < cutHosts; ++host)
        DOUBLES_EQUAL(0, cluster.metricOf(host, "apricot_lost_links").value(), 0);
    const TimePoint regainedAt = RuntimeClock::now();
    play(paths, Milliseconds(1000));
    cluster.runFor(Milliseconds(500));
    DOUBLES_EQUAL(0, servedBy(0, hostCount, regainedAt).failed(), 0);
}

// At most once also holds for a request whose path through a peer breaks.
TEST(LostLinks, areGoneRoundOnceWhenThePeerEnds)
{
    cluster.runTime = Milliseconds(400);
    cluster.addServers("plain", 4);
    cluster.waitUntilReady();
    cut(1, LinkFault::Resets);
    cluster.runFor(Milliseconds(200));
    for (int round = 0; round < 60; ++round) {
        if (round == 30)
            cluster.killHost(1);
        const std::string content = "ordinary " + std::to_string(round) + ".";
        sendTo(0, { .path = "/once/x", .content = content });
        cluster.runFor(Milliseconds(30));
    }
    cluster.runFor(Milliseconds(3000));
    for (const ClusterResponse& response : cluster.responses) {
        const std::size_t runs = cluster.runsOf(response.content).size();
        CHECK_TRUE(runs <= 1);
        if (response.status == 503)
            LONGS_EQUAL(0, runs);
    }
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 40);
}
