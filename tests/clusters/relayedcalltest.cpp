#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

constexpr std::size_t hostCount = 3;
// Time in which servers stop to work on what a caller has given up.
constexpr Milliseconds abandonTime { 500 };

}

// Calls of the first host, whose links are lost.
TEST_GROUP(RelayedCall)
{
    GatewayCluster cluster { hostCount };

    void setup() override { cluster.forwardsLinks = true; }

    void start()
    {
        cluster.waitUntilReady();
        cluster.cutLinks(0, LinkFault::Resets);
        cluster.call(0, { .path = "/again/x", .content = "first" });
        cluster.runFor(Milliseconds(500));
    }

    void sendOrdinary(int count)
    {
        for (int number = 0; number < count; ++number)
            cluster.send(0, "/once/x", "ordinary");
    }
};

TEST(RelayedCall, endsWithItsCaller)
{
    cluster.runTime = Milliseconds(2000);
    cluster.addServers("plain", 2);
    cluster.addServers("engines", 2);
    start();
    cluster.abandonedRuns = 0;
    for (const char* path : { "/once/x", "/live/x" })
        cluster.send(0, { .path = path, .content = "impatient", .patience = Milliseconds(300) });
    cluster.runFor(Milliseconds(300) + abandonTime);
    LONGS_EQUAL(2, cluster.runsOf("impatient").size());
    LONGS_EQUAL(2, cluster.abandonedRuns);
}

// Guards against streams that are cut, or started again, because events are rare.
TEST(RelayedCall, ofASlowStreamGoesOn)
{
    cluster.runTime = Milliseconds(3500);
    cluster.addServers("engines", 2);
    start();
    for (std::size_t host = 0; host < 2; ++host)
        cluster.send(host, "/stream/x", "slow");
    cluster.runFor(Milliseconds(4500));
    LONGS_EQUAL(2, cluster.countResponses("slow", 200));
    LONGS_EQUAL(2, cluster.runsOf("slow").size());
}

// A peer that is silent for a while and goes on loses nothing, and nothing is sent again.
TEST(RelayedCall, outlivesASilenceOfThePeer)
{
    cluster.runTime = Milliseconds(200);
    cluster.addServers("plain", 2);
    start();
    sendOrdinary(10);
    cluster.runFor(Milliseconds(100));
    for (std::size_t host = 1; host < hostCount; ++host)
        cluster.setSuspended(host, true);
    cluster.runFor(Milliseconds(1000));
    for (std::size_t host = 1; host < hostCount; ++host)
        cluster.setSuspended(host, false);
    cluster.runFor(Milliseconds(1500));
    LONGS_EQUAL(10, cluster.countResponses("ordinary", 200));
    LONGS_EQUAL(10, cluster.runsOf("ordinary").size());
}

TEST(RelayedCall, passesALargeResponseOnUnchanged)
{
    std::string body;
    while (body.size() < 3'000'000)
        body += std::to_string(body.size()) + ",";
    cluster.addScriptedServer("plain", "v1", [&body](const HttpRequest&) {
        return ScriptedResponse { .parts = { body }, .framing = BodyFraming::Length };
    });
    cluster.waitUntilReady();
    cluster.cutLinks(0, LinkFault::RefusesNew);
    const ClusterResponse response = cluster.call(0, { .path = "/once/x", .content = "large" });
    LONGS_EQUAL(200, response.status);
    CHECK_TRUE(response.body == body);
}

// Guards against a request that is too large for a message between hosts, and breaks the other calls of its connection.
TEST(RelayedCall, isRefusedIfItIsTooLarge)
{
    cluster.runTime = Milliseconds(300);
    cluster.addServers("plain", 2);
    start();
    sendOrdinary(4);
    cluster.runFor(Milliseconds(50));
    const ClusterResponse response = cluster.call(0, { .path = "/once/x", .content = std::string(3'000'000, 'x') });
    LONGS_EQUAL(503, response.status);
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(4, cluster.countResponses("ordinary", 200));
}

// A cut may concern some servers only; the others are still called directly.
TEST(RelayedCall, isMadeForLostLinksOnly)
{
    cluster.addServers("plain", 2);
    cluster.addServers("engines", 2);
    cluster.waitUntilReady();
    cluster.cutLinks(0, LinkFault::Silent, "engines");
    for (int number = 0; number < 40; ++number) {
        cluster.send(0, number % 2 == 0 ? "/once/x" : "/stream/x", "ordinary");
        cluster.runFor(Milliseconds(50));
    }
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(40, cluster.countResponses("ordinary", 200));
    DOUBLES_EQUAL(2, cluster.metricOf(0, "apricot_lost_links").value(), 0);
}

// Guards against a peer that reads a response without end for a host that is gone and has not closed its connection.
TEST(RelayedCall, endsAtItsDeadlineThoughItsHostIsGone)
{
    std::vector<std::string> parts(4000, "x");
    cluster.addScriptedServer("plain", "v1", [&parts](const HttpRequest&) {
        return ScriptedResponse { .parts = parts, .isComplete = false };
    });
    cluster.waitUntilReady();
    cluster.cutLinks(0, LinkFault::RefusesNew);
    cluster.send(0, "/once/x", "endless");
    cluster.runFor(Milliseconds(1000));
    cluster.setSuspended(0, true);
    cluster.runFor(Milliseconds(3000));
    std::string ended;
    for (std::size_t host = 1; host < hostCount; ++host)
        ended += cluster.metricsOf(host);
    CHECK_TRUE(ended.find("apricot_calls_for_peers_total{sent=\"yes\"} 1") != std::string::npos);
    cluster.setSuspended(0, false);
}

// Guards against a refusal that a server sends again on a connection which a peer has kept: it was taken for that of the
// request's next attempt, which the server ran, and the request ran once more.
TEST(RelayedCall, runsOnceThoughItsServerRepeatsARefusal)
{
    GatewayCluster pair { 2, ClusterRetries::Allowed };
    pair.forwardsLinks = true;
    pair.addServers("stages", 1);
    int runs = 0;
    int refusals = 0;
    pair.addScriptedServer("engines", "v1", [&](const HttpRequest& request) -> ScriptedResponse {
        if (refusals++ == 0) {
            const std::string refusal = "HTTP/1.1 409 Conflict\r\n" + std::string(Names::notRunField) + ": 1\r\n"
                + std::string(Names::requestIdField) + ": " + std::string(request.field(Names::requestIdField))
                + "\r\nContent-Length: 0\r\n\r\n";
            return { .rawBytes = refusal, .extraBytes = refusal };
        }
        ++runs;
        return { .parts = { "id: 1\ndata: a\n\n" } };
    });
    pair.waitUntilReady();
    pair.cutLinks(0, LinkFault::Resets);
    pair.runFor(Milliseconds(500));
    const ClusterResponse response = pair.call(0, { .path = "/staged/x", .content = "request" });
    LONGS_EQUAL(200, response.status);
    LONGS_EQUAL(1, runs);
}
