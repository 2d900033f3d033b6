#include "gatewaycluster.h"

#include "clustersupport.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

#include <boost/algorithm/string/replace.hpp>
#include <boost/json/parse.hpp>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

constexpr std::size_t hostCount = 4;
constexpr int streamCount = 30;
constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* secondEvent = "id: 2\ndata: b\n\n";

// Names the attempt that brought the first event.
ClusterRequest resumptionOf(const std::string& requestId, const std::string& content)
{
    return { .path = "/stream/x",
        .content = content,
        .fields = { { std::string(Names::lastEventField), "1" },
            { std::string(Names::resumesField), requestId } } };
}

}

// Engines of several software versions; the first run of each stream breaks off after its first event.
TEST_GROUP(StreamVersion)
{
    // Versions of the engines that ran each stream, in order.
    std::map<std::string, std::vector<std::string>> versionsOf;

    void addEngines(GatewayCluster & cluster, const std::string& version, int count)
    {
        const auto script = [this, version](const HttpRequest& request) -> ScriptedResponse {
            versionsOf[request.body].push_back(version);
            if (request.field(Names::lastEventField) == "1")
                return { .parts = { secondEvent } };
            return { .parts = { firstEvent }, .isComplete = false, .end = ConnectionEnd::Reset };
        };
        for (int index = 0; index < count; ++index)
            cluster.addScriptedServer("engines", version, script);
    }

    int countJoinedStreams() const
    {
        int joined = 0;
        for (const auto& stream : versionsOf) {
            const std::vector<std::string>& versions = stream.second;
            if (std::any_of(versions.begin(), versions.end(),
                    [&versions](const std::string& version) { return version != versions.front(); }))
                ++joined;
        }
        return joined;
    }

    static std::string streamName(int index) { return "stream " + std::to_string(index); }

    // Begins a number of streams over all hosts. Returns the IDs of the attempts.
    static std::vector<std::string> beginStreams(GatewayCluster & cluster)
    {
        std::vector<std::string> begun;
        for (int index = 0; index < streamCount; ++index) {
            const auto host = static_cast<std::size_t>(index) % hostCount;
            begun.push_back(cluster.call(host, { .path = "/stream/x", .content = streamName(index) }).id);
        }
        return begun;
    }
    // Sends a resumption of each stream, to a host that did not begin it if `shift` is not zero.
    static void resumeStreams(GatewayCluster & cluster, const std::vector<std::string>& begun, int shift)
    {
        for (int index = 0; index < streamCount; ++index) {
            const auto host = static_cast<std::size_t>(index + shift) % hostCount;
            cluster.send(host, resumptionOf(begun[static_cast<std::size_t>(index)], streamName(index)));
        }
    }
    static void restartAllHosts(GatewayCluster & cluster)
    {
        for (std::size_t host = 0; host < hostCount; ++host)
            cluster.killHost(host);
        for (std::size_t host = 0; host < hostCount; ++host)
            cluster.restartHost(host);
        cluster.waitUntilReady();
    }
};

TEST(StreamVersion, aStreamGoesOnAtTheVersionThatBeganItWithinOneResponse)
{
    GatewayCluster cluster { 2, ClusterRetries::Allowed };
    addEngines(cluster, "v1", 2);
    addEngines(cluster, "v2", 6);
    cluster.waitUntilReady();
    int complete = 0;
    for (int index = 0; index < streamCount; ++index) {
        const ClusterRequest request { .path = "/stream/x", .content = streamName(index) };
        complete += cluster.call(static_cast<std::size_t>(index) % 2, request).isComplete ? 1 : 0;
    }
    LONGS_EQUAL(0, countJoinedStreams());
    LONGS_EQUAL(streamCount, complete);
}

TEST(StreamVersion, aStreamGoesOnAtTheVersionThatBeganItWhenItsCallerResumesAtAnotherHost)
{
    // Hosts have no permit to resume a stream themselves.
    GatewayCluster cluster { hostCount, ClusterRetries::Never };
    addEngines(cluster, "v1", 2);
    addEngines(cluster, "v2", 6);
    cluster.waitUntilReady();
    int complete = 0;
    for (int index = 0; index < streamCount; ++index) {
        const auto host = static_cast<std::size_t>(index) % hostCount;
        const ClusterResponse begun
            = cluster.call(host, { .path = "/stream/x", .content = streamName(index) });
        CHECK_FALSE(begun.isComplete);
        const ClusterRequest resumption = resumptionOf(begun.id, streamName(index));
        complete += cluster.call((host + 1) % hostCount, resumption).isComplete ? 1 : 0;
    }
    LONGS_EQUAL(0, countJoinedStreams());
    LONGS_EQUAL(streamCount, complete);
}

TEST(StreamVersion, aStreamGoesOnAtTheVersionThatBeganItWhenItsHostWasKilled)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Never };
    addEngines(cluster, "v1", 2);
    addEngines(cluster, "v2", 6);
    cluster.waitUntilReady();
    std::vector<std::string> begun;
    begun.reserve(streamCount);
    for (int index = 0; index < streamCount; ++index)
        begun.push_back(cluster.call(0, { .path = "/stream/x", .content = streamName(index) }).id);
    cluster.runFor(Milliseconds(100));
    cluster.killHost(0);
    int complete = 0;
    for (int index = 0; index < streamCount; ++index) {
        const ClusterRequest resumption = resumptionOf(begun[static_cast<std::size_t>(index)], streamName(index));
        const auto host = 1 + static_cast<std::size_t>(index) % (hostCount - 1);
        complete += cluster.call(host, resumption).isComplete ? 1 : 0;
    }
    LONGS_EQUAL(0, countJoinedStreams());
    // Of the streams that are resumed, half of the share of new streams have to go on.
    CHECK_COMPARE(complete, >=, streamCount / 2);
}

TEST(StreamVersion, aStreamOfUnknownOriginIsRefusedWithoutARun)
{
    GatewayCluster cluster { 2, ClusterRetries::Allowed };
    addEngines(cluster, "v1", 2);
    addEngines(cluster, "v2", 2);
    cluster.waitUntilReady();
    const ClusterResponse response = cluster.call(0, resumptionOf("unknown", "stream"));
    LONGS_EQUAL(503, response.status);
    LONGS_EQUAL(0, versionsOf.size());
}

TEST(StreamVersion, aStreamThatBeganAtAnUnknownVersionIsCutInsteadOfGoingOn)
{
    GatewayCluster cluster { 2, ClusterRetries::Allowed };
    addEngines(cluster, "", 2);
    cluster.waitUntilReady();
    const ClusterResponse response = cluster.call(0, { .path = "/stream/x", .content = "stream" });
    CHECK_FALSE(response.isComplete);
    LONGS_EQUAL(1, versionsOf["stream"].size());
}

TEST(StreamVersion, aStreamWhoseVersionHasLeftIsRefusedAtOnceWithoutARun)
{
    GatewayCluster cluster { 2, ClusterRetries::Never };
    addEngines(cluster, "v1", 1);
    cluster.waitUntilReady();
    const ClusterResponse begun = cluster.call(0, { .path = "/stream/x", .content = "stream" });
    addEngines(cluster, "v2", 2);
    cluster.removeScriptedServers("v1");
    cluster.runFor(Milliseconds(3000));
    const ClusterResponse response = cluster.call(1, resumptionOf(begun.id, "stream"));
    LONGS_EQUAL(503, response.status);
    LONGS_EQUAL(1, versionsOf["stream"].size());
}

// Guards against text joined from two versions when all hosts, and with them all records, are gone at once: they come
// back while both versions serve, or when only the new one is left.
TEST(StreamVersion, noStreamIsJoinedOfTwoVersionsAfterAllHostsWereKilledAtOnce)
{
    for (const bool isOldVersionGone : { false, true }) {
        GatewayCluster cluster { hostCount, ClusterRetries::Never };
        addEngines(cluster, "v1", 4);
        cluster.waitUntilReady();
        const std::vector<std::string> begun = beginStreams(cluster);
        addEngines(cluster, "v2", 4);
        if (isOldVersionGone)
            cluster.removeScriptedServers("v1");
        cluster.runFor(Milliseconds(200));
        restartAllHosts(cluster);
        // Callers resume for as long as their deadline allows.
        for (int round = 0; round < 4; ++round) {
            resumeStreams(cluster, begun, round);
            cluster.runFor(Milliseconds(2000));
        }
        LONGS_EQUAL(0, countJoinedStreams());
        versionsOf.clear();
    }
}

// Guards against text joined from two versions when the configuration shortens the timeout meanwhile: streams that
// began before it last for as long as their callers' deadlines allow.
TEST(StreamVersion, noStreamIsJoinedOfTwoVersionsWhenTheTimeoutWasShortened)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Never };
    addEngines(cluster, "v1", 4);
    cluster.waitUntilReady();
    const std::vector<std::string> begun = beginStreams(cluster);
    std::string shortened = clusterConfig;
    boost::algorithm::replace_all(shortened, "\"timeoutMs\":6000", "\"timeoutMs\":500");
    boost::algorithm::replace_all(shortened, "\"version\":1", "\"version\":2");
    cluster.writeObject(std::string(Names::configurationKey), boost::json::parse(shortened));
    addEngines(cluster, "v2", 4);
    cluster.removeScriptedServers("v1");
    cluster.runFor(Milliseconds(300));
    restartAllHosts(cluster);
    cluster.runFor(Milliseconds(2000));
    // These callers wait for eight seconds in all.
    resumeStreams(cluster, begun, 0);
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(0, countJoinedStreams());
}

// Guards against refusing every stream of a pool with one version whose host has no record.
TEST(StreamVersion, aStreamOfAPoolWithASingleVersionGoesOnWithoutARecord)
{
    GatewayCluster cluster { 3, ClusterRetries::Never };
    addEngines(cluster, "v1", 2);
    cluster.waitUntilReady();
    // How long a stream may be resumed at least.
    cluster.runFor(Milliseconds(30'500));
    const ClusterResponse begun = cluster.call(0, { .path = "/stream/x", .content = "stream" });
    cluster.killHost(0);
    CHECK_TRUE(cluster.call(1, resumptionOf(begun.id, "stream")).isComplete);
    LONGS_EQUAL(2, versionsOf["stream"].size());
}

// Guards against a host that stood still while servers of another version joined, and takes the version that it knows for
// the only one.
TEST(StreamVersion, aStreamOfANewVersionIsNotJoinedAtAHostThatStoodStillWhenItJoined)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Never };
    constexpr std::size_t still = hostCount - 1;
    addEngines(cluster, "v1", 2);
    cluster.waitUntilReady();
    // Until the hosts have known a single version for as long as a stream lasts.
    cluster.runFor(Milliseconds(7000));
    cluster.setSuspended(still, true);
    addEngines(cluster, "v2", 6);
    cluster.runFor(Milliseconds(1500));
    std::vector<std::string> begun;
    begun.reserve(streamCount);
    for (int index = 0; index < streamCount; ++index)
        begun.push_back(
            cluster.call(static_cast<std::size_t>(index) % still, { .path = "/stream/x", .content = streamName(index) }).id);
    cluster.setSuspended(still, false);
    for (int index = 0; index < streamCount; ++index)
        cluster.send(still, resumptionOf(begun[static_cast<std::size_t>(index)], streamName(index)));
    cluster.runFor(Milliseconds(3000));
    LONGS_EQUAL(0, countJoinedStreams());
    CHECK_TRUE(std::any_of(versionsOf.begin(), versionsOf.end(),
        [](const auto& stream) { return stream.second.front() == "v2"; }));
}
