#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

constexpr std::size_t hostCount = 3;
constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* errorText = "ERROR";

// How the first run of a stream breaks off.
std::vector<ScriptedResponse> breaks()
{
    return { { .parts = { firstEvent }, .isComplete = false, .end = ConnectionEnd::Reset },
        { .parts = { firstEvent, "id: 2\nda" }, .isComplete = false, .end = ConnectionEnd::Close },
        { .parts = { std::string(firstEvent) + "id" }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Close },
        { .parts = { firstEvent }, .framing = BodyFraming::Length, .isComplete = false, .end = ConnectionEnd::Close } };
}

// What the server responds at which the stream is to go on. Errors come in two parts.
std::vector<ScriptedResponse> errors()
{
    const std::vector<std::string> text { errorText, errorText };
    const std::string event = "id: 2\ndata: " + std::string(errorText) + "\n\n";
    const std::string notRun = "\r\n" + std::string(Names::notRunField) + ": 1";
    std::vector<ScriptedResponse> all;
    for (const std::string& status :
        { std::string("500 Failed"), "503 Full" + notRun, "429 Many" + notRun, std::string("404 Unknown"), std::string("400 Bad") }) {
        for (const BodyFraming framing : { BodyFraming::Length, BodyFraming::Chunks })
            all.push_back({ .parts = text, .framing = framing, .status = status, .contentType = "text/plain" });
        all.push_back({ .parts = text,
            .framing = BodyFraming::ConnectionEnd,
            .end = ConnectionEnd::Close,
            .status = status,
            .contentType = "text/plain" });
        all.push_back({ .parts = { event }, .status = status });
        all.push_back({ .parts = text, .isComplete = false, .end = ConnectionEnd::Reset, .status = status });
    }
    all.push_back({ .parts = text, .contentType = "text/plain" });
    return all;
}

}

// Streams that break off after their first event, and whose next server responds with an error.
TEST_GROUP(BrokenStream)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Allowed };
    ScriptedResponse broken;
    ScriptedResponse error;
    std::size_t resumptions = 0;

    void setup() override
    {
        const auto script = [this](const HttpRequest& request) -> ScriptedResponse {
            if (request.field(Names::lastEventField).empty())
                return broken;
            ++resumptions;
            return error;
        };
        for (int index = 0; index < 4; ++index)
            cluster.addScriptedServer("engines", "v1", script);
        cluster.addServers("stages", 2);
        cluster.waitUntilReady();
    }

    static void checkIsCutAfterItsFirstEvent(const ClusterResponse& response)
    {
        LONGS_EQUAL(200, response.status);
        CHECK_EQUAL(std::string(firstEvent), response.body);
        CHECK_FALSE(response.isComplete);
    }

    // Sends a stream for each kind of break and error, and checks that its caller gets the first event and no end.
    void play(const std::string& path)
    {
        for (const ScriptedResponse& nextBreak : breaks()) {
            broken = nextBreak;
            for (const ScriptedResponse& nextError : errors()) {
                error = nextError;
                checkIsCutAfterItsFirstEvent(cluster.call(0, { .path = path, .content = "x" }));
            }
        }
        // Most streams go on; the budget of retries leaves some out.
        CHECK_COMPARE(resumptions, >, breaks().size() * errors().size() / 4);
    }
};

// Guards against an error, or its header, in the middle of a stream, and against a stream that ends as if it were complete.
TEST(BrokenStream, doesNotGoOnWithAnError)
{
    play("/stream/x");
}

// The same for streams that run their stages again.
TEST(BrokenStream, withStagesDoesNotGoOnWithAnError)
{
    play("/staged/x");
}

// The same for responses that come through another host.
TEST(BrokenStream, thatIsRelayedDoesNotGoOnWithAnError)
{
    cluster.cutLinks(0, LinkFault::RefusesNew);
    play("/stream/x");
    CHECK_COMPARE(cluster.metricOf(0, "apricot_relayed_calls_total").value_or(0), >, 0);
}

// Guards against an error that a caller who resumes its stream at another host takes for the rest of it.
TEST(BrokenStream, thatItsCallerResumesDoesNotGoOnWithAnError)
{
    broken = breaks().front();
    for (const ScriptedResponse& nextError : errors()) {
        error = nextError;
        const ClusterResponse begun = cluster.call(0, { .path = "/stream/x", .content = "x" });
        const ClusterResponse resumed = cluster.call(1,
            { .path = "/stream/x",
                .content = "x",
                .fields = { { std::string(Names::lastEventField), "1" }, { std::string(Names::resumesField), begun.id } } });
        CHECK_FALSE(resumed.status == 200 && resumed.isComplete);
    }
}
