#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <algorithm>

using namespace Apricot;
namespace Names = PlatformNames;

namespace json = boost::json;

namespace {

constexpr int requests = 24;
// Some requests wait at a time.
constexpr Milliseconds requestInterval { 40 };
constexpr Milliseconds callTime { 60 };

constexpr const char* notRunText
    = "HTTP/1.1 503 Service Unavailable\r\nApricotpier-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

std::string responseText(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string resultText(int call)
{
    return responseText(R"({"entries":[{"handle":"127.0.0.1:1/)" + std::to_string(call) + R"("}]})");
}

// The response to a call of stages, with handles that name the keys of its pieces.
std::string resultText(const HttpRequest& request, int call)
{
    std::string entries;
    const json::value body = json::parse(request.body);
    for (const json::value& piece : body.at("entries").as_array())
        entries += (entries.empty() ? R"({"handle":"127.0.0.1:1/)" : R"(,{"handle":"127.0.0.1:1/)")
            + std::string(piece.at("key").as_string()) + "." + std::to_string(call) + "\"}";
    return responseText(R"({"entries":[)" + entries + "]}");
}

// A response that a stage server sends a second time, at the point where the next one is expected.
struct RepeatedCase {
    const char* name;
    // Whether it responds to a release, or to the first call.
    bool isOfRelease;
    std::string text;
};

const std::vector<RepeatedCase>& repeatedCases()
{
    static const std::vector<RepeatedCase> cases {
        { "release, empty", true, responseText("") },
        { "release, JSON", true, responseText("{}") },
        { "release, refused", true, notRunText },
        { "call, refused", false, notRunText },
        { "call, failed pieces", false, responseText(R"({"entries":[{"reason":"room"}]})") },
        { "call, too many results", false,
            responseText(R"({"entries":[{"handle":"127.0.0.1:1/other.1"},{"handle":"127.0.0.1:1/other.2"}]})") },
        { "call, no results", false, responseText(R"({"entries":[]})") },
        { "call, unreadable", false, responseText(R"({"entries":[{"handle":)") },
        { "call, server failure", false, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n" },
    };
    return cases;
}

}

TEST_GROUP(RepeatedResponse)
{
    GatewayCluster cluster { 1, ClusterRetries::Allowed };
    // Requests that engines got, with their input handles.
    std::vector<std::pair<std::string, std::string>> inputs;

    void addEngine()
    {
        cluster.addScriptedServer("engines", "v1", [this](const HttpRequest& request) -> ScriptedResponse {
            inputs.emplace_back(request.body, request.field(Names::inputHandlesField));
            return { .parts = { "id: 1\ndata: a\n\n" } };
        });
    }
    std::size_t countForeignInputs() const
    {
        return static_cast<std::size_t>(std::count_if(inputs.begin(), inputs.end(),
            [](const auto& input) { return input.second.find("/" + input.first + ".") == std::string::npos; }));
    }
};

// Guards against passing the results of one request to another one, because a server sends a response again, late,
// on a connection that is in use for the next call.
TEST(RepeatedResponse, aStageResultGoesToOneRequestOnly)
{
    addEngine();
    int calls = 0;
    cluster.addScriptedServer("stages", "v1", [&calls](const HttpRequest& request) -> ScriptedResponse {
        if (request.path == Names::stageFreePath)
            return { .rawBytes = responseText("{}") };
        ++calls;
        return { .rawBytes = calls == 2 ? resultText(1) + resultText(2) : resultText(calls) };
    });
    cluster.waitUntilReady();
    for (int request = 0; request < 4; ++request)
        LONGS_EQUAL(200, cluster.call(0, { .path = "/staged/x", .content = "request" }).status);
    LONGS_EQUAL(4, inputs.size());
    std::sort(inputs.begin(), inputs.end());
    CHECK_TRUE(std::adjacent_find(inputs.begin(), inputs.end()) == inputs.end());
}

// Guards against taking the repeated response to one call for the response to the next, and that call's response for
// the one to the call after it.
TEST(RepeatedResponse, noRequestGetsResultsOfAnotherWhateverAStageServerRepeats)
{
    addEngine();
    const RepeatedCase* current = nullptr;
    int calls = 0;
    cluster.addScriptedServer("stages", "v1", [&](const HttpRequest& request) -> ScriptedResponse {
        if (request.path == Names::stageFreePath)
            return { .rawBytes = current->isOfRelease ? current->text : responseText(""),
                .extraBytes = current->isOfRelease ? current->text : "" };
        const bool isRepeated = calls++ == 0 && !current->isOfRelease;
        return { .rawBytes = isRepeated ? current->text : resultText(request, calls),
            .delay = callTime,
            .extraBytes = isRepeated ? current->text : "" };
    });
    int sent = 0;
    current = &repeatedCases().front();
    cluster.waitUntilReady();
    for (const RepeatedCase& repeated : repeatedCases()) {
        current = &repeated;
        calls = 0;
        inputs.clear();
        for (int request = 0; request < requests; ++request) {
            cluster.send(0, { .path = "/staged/x", .content = "request-" + std::to_string(++sent) });
            cluster.runFor(requestInterval);
        }
        cluster.runFor(Milliseconds(1500));
        LONGS_EQUAL_TEXT(0, countForeignInputs(), repeated.name);
        CHECK_TRUE_TEXT(inputs.size() >= requests - 2, repeated.name);
    }
}

// Guards against a refusal that a server repeats without the request's ID, which would be taken for the refusal of a
// request that the server runs.
TEST(RepeatedResponse, aRepeatedRefusalIsNotTakenForThatOfTheNextRequest)
{
    int runs = 0;
    cluster.addScriptedServer("plain", "v1", [&runs](const HttpRequest&) -> ScriptedResponse {
        ++runs;
        return { .parts = { "done" }, .framing = BodyFraming::Length, .extraBytes = notRunText };
    });
    cluster.waitUntilReady();
    LONGS_EQUAL(200, cluster.call(0, { .path = "/once/x", .content = "first" }).status);
    const int status = cluster.call(0, { .path = "/once/x", .content = "second" }).status;
    LONGS_EQUAL(2, runs);
    CHECK_TRUE(status != 503 && status != 429);
}
