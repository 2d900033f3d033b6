#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* secondEvent = "id: 2\ndata: b\n\n";

}

TEST_GROUP(StreamEnd)
{
    GatewayCluster cluster { 2, ClusterRetries::Allowed };

    // Sends a request to a pool with one server that gives this response.
    ClusterResponse callServerWith(
        const std::string& pool, const std::string& path, const ScriptedResponse& scripted)
    {
        cluster.addScriptedServer(pool, "v1", [scripted](const HttpRequest&) { return scripted; });
        cluster.waitUntilReady();
        return cluster.call(0, { .path = path, .content = "request" });
    }
};

TEST(StreamEnd, aStreamWithoutLengthThatEndsInsideAnEventDoesNotLookComplete)
{
    const ClusterResponse response = callServerWith("engines", "/live/x",
        { .parts = { firstEvent, "id: 2\nda" },
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close });
    STRCMP_EQUAL(firstEvent, response.body.c_str());
    CHECK_FALSE(response.isComplete);
}

TEST(StreamEnd, aResumableStreamThatEndsInsideAnEventGoesOnAtAnotherServer)
{
    const auto script = [](const HttpRequest& request) -> ScriptedResponse {
        if (request.field(Names::lastEventField) == "1")
            return { .parts = { secondEvent } };
        return { .parts = { firstEvent, "id: 2\nda" },
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close };
    };
    cluster.addScriptedServer("engines", "v1", script);
    cluster.addScriptedServer("engines", "v1", script);
    cluster.waitUntilReady();
    const ClusterResponse response = cluster.call(0, { .path = "/stream/x", .content = "request" });
    STRCMP_EQUAL((std::string(firstEvent) + secondEvent).c_str(), response.body.c_str());
    CHECK_TRUE(response.isComplete);
}

TEST(StreamEnd, aStreamWithoutLengthOfAServerThatEndedDoesNotLookComplete)
{
    const ClusterResponse response = callServerWith("engines", "/live/x",
        { .parts = { firstEvent, secondEvent },
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close,
            .endsServer = true });
    CHECK_FALSE(response.isComplete);
}

TEST(StreamEnd, aStreamWithoutLengthOfARunningServerIsCompleteAfterItsLastEvent)
{
    const ClusterResponse response = callServerWith("engines", "/live/x",
        { .parts = { firstEvent, secondEvent },
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close });
    STRCMP_EQUAL((std::string(firstEvent) + secondEvent).c_str(), response.body.c_str());
    CHECK_TRUE(response.isComplete);
}

TEST(StreamEnd, aStreamWithoutLengthAndWithoutEventsDoesNotLookComplete)
{
    const ClusterResponse response = callServerWith(
        "engines", "/live/x", { .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Close });
    LONGS_EQUAL(502, response.status);
}

TEST(StreamEnd, aStreamInChunksThatEndsInsideAnEventDoesNotLookComplete)
{
    const ClusterResponse response = callServerWith(
        "engines", "/live/x", { .parts = { firstEvent, "id: 2\nda" }, .framing = BodyFraming::Chunks });
    STRCMP_EQUAL(firstEvent, response.body.c_str());
    CHECK_FALSE(response.isComplete);
}

TEST(StreamEnd, aPlainResponseWithoutLengthOfAServerThatEndedDoesNotLookComplete)
{
    const ClusterResponse response = callServerWith("plain", "/again/x",
        { .parts = { "part of a res" },
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close,
            .endsServer = true });
    LONGS_EQUAL(502, response.status);
}

TEST(StreamEnd, aPlainResponseWithoutLengthOfARunningServerIsComplete)
{
    const ClusterResponse response = callServerWith("plain", "/again/x",
        { .parts = { "a response" }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Close });
    STRCMP_EQUAL("a response", response.body.c_str());
    CHECK_TRUE(response.isComplete);
}

TEST(StreamEnd, responsesThatAreResetDoNotLookComplete)
{
    const ClusterResponse stream = callServerWith("engines", "/live/x",
        { .parts = { firstEvent }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Reset });
    CHECK_FALSE(stream.isComplete);
    const ClusterResponse plain = callServerWith("plain", "/once/x",
        { .parts = { "part" }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Reset });
    LONGS_EQUAL(502, plain.status);
}
