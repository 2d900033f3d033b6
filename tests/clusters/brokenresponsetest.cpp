#include "clustersupport.h"
#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

constexpr std::size_t hostCount = 3;
constexpr int serversPerPool = 2;
constexpr int soundRequests = 6;
constexpr const char* event = "id: 1\ndata: a\n\n";
constexpr const char* brokenEvent = "id: 1\ndata: broken\n\n";
// More than the kernel buffers for a server that responds before it reads, and less than the largest body of a request.
constexpr std::size_t uploadBytes = 3'900'000;

constexpr const char* allPaths[] = { "/once/x", "/again/x", "/live/x", "/stream/x", "/staged/x" };

// A broken response: its status line after the version of HTTP, the lines that follow the request's ID and signature,
// and what follows the header.
struct BrokenForm {
    std::string status = "200 OK";
    std::string lines {};
    std::string body = brokenEvent;
    // Number of bytes at the end that are not sent.
    std::size_t missingBytes = 0;
    ConnectionEnd end = ConnectionEnd::Close;
};

std::string textOf(const BrokenForm& form, const HttpRequest& request)
{
    std::string text = "HTTP/1.1 " + form.status + "\r\nContent-Type: text/event-stream\r\n";
    for (const HttpField& field : signedFields(request))
        text += field.name + ": " + field.value + "\r\n";
    text += form.lines + "\r\n" + form.body;
    return text.substr(0, text.size() - form.missingBytes);
}

std::string lengthLine(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

}

// Callers of hosts whose servers all send a broken response.
TEST_GROUP(BrokenResponse)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Allowed };
    std::optional<BrokenForm> broken;
    std::size_t brokenResponses = 0;

    void start(ResponseStart start = ResponseStart::AfterRequest)
    {
        const auto script = [this](const HttpRequest& request) -> ScriptedResponse {
            if (!broken)
                return { .parts = { event } };
            ++brokenResponses;
            return { .end = broken->end, .rawBytes = textOf(*broken, request) };
        };
        for (int index = 0; index < serversPerPool; ++index) {
            cluster.addScriptedServer("plain", "v1", script, start);
            cluster.addScriptedServer("engines", "v1", script, start);
        }
        cluster.addServers("stages", 2);
        cluster.waitUntilReady();
    }

    // Sends a request whose servers respond in this form. Its caller must learn that it failed.
    void checkIsNotForwarded(const std::string& path, const BrokenForm& form, const std::string& content = "x")
    {
        broken = form;
        const std::size_t before = brokenResponses;
        const ClusterResponse response = cluster.call(0, { .path = path, .content = content });
        const std::string text = path + ": " + form.status + ", " + form.lines;
        LONGS_EQUAL_TEXT(502, response.status, text.c_str());
        CHECK_TRUE_TEXT(response.isComplete, text.c_str());
        CHECK_TRUE_TEXT(response.body.find("broken") == std::string::npos, text.c_str());
        CHECK_COMPARE_TEXT(brokenResponses, >, before, text.c_str());
    }

    // The next responses of the same servers are forwarded.
    void checkSoundResponsesAreForwarded()
    {
        broken.reset();
        for (int number = 0; number < soundRequests; ++number) {
            const ClusterResponse response
                = cluster.call(0, { .path = allPaths[number % std::size(allPaths)], .content = "sound" });
            LONGS_EQUAL(200, response.status);
            CHECK_EQUAL(std::string(event), response.body);
            CHECK_TRUE(response.isComplete);
        }
    }

    void play(const std::vector<BrokenForm>& forms)
    {
        for (const BrokenForm& form : forms) {
            for (const char* path : allPaths)
                checkIsNotForwarded(path, form);
            checkSoundResponsesAreForwarded();
        }
    }
};

// Guards against a status of no defined class that a caller gets as the response to its request.
TEST(BrokenResponse, withAStatusOfNoDefinedClassIsNotForwarded)
{
    start();
    std::vector<BrokenForm> forms;
    for (const char* status : { "000 Failed", "001 Failed", "099 Failed", "600 Failed", "999 Failed", "000" })
        forms.push_back({ .status = status, .lines = lengthLine(brokenEvent) });
    play(forms);
}

// The same for responses that come through another host.
TEST(BrokenResponse, withAStatusOfNoDefinedClassIsNotForwardedThroughAPeer)
{
    start();
    cluster.cutLinks(0, LinkFault::RefusesNew);
    play({ { .status = "000 Failed", .lines = lengthLine(brokenEvent) } });
    CHECK_COMPARE(cluster.metricOf(0, "apricot_relayed_calls_total").value_or(0), >, 0);
}

// Guards against part of a response without length that looks whole, because its connection is reset while the host
// still sends a large request: the error goes to the write, and the read sees an ordinary end.
TEST(BrokenResponse, thatIsResetDuringAnUploadIsNotForwarded)
{
    constexpr int rounds = 4;
    start(ResponseStart::AfterRequestHeader);
    const std::string upload(uploadBytes, 'x');
    for (int round = 0; round < rounds; ++round) {
        for (const char* path : { "/once/x", "/again/x" })
            checkIsNotForwarded(path, { .end = ConnectionEnd::Reset }, upload);
        for (const char* path : { "/live/x", "/stream/x", "/staged/x" }) {
            broken = BrokenForm { .end = ConnectionEnd::Reset };
            const ClusterResponse response = cluster.call(0, { .path = path, .content = upload });
            CHECK_FALSE_TEXT(response.status == 200 && response.isComplete, path);
        }
    }
    checkSoundResponsesAreForwarded();
}

// Guards against a folded line, which hides a field in the value of the one before, such as the signature.
TEST(BrokenResponse, withAFoldedLineIsNotForwarded)
{
    start();
    play({ { .lines = " Content-Length: 3\r\n" }, { .lines = "\tContent-Length: 3\r\n" },
        { .lines = lengthLine(brokenEvent) + "X: a\r\n b\r\n" } });
}

// Guards against a field whose name holds a blank or a control character, which is forwarded or hides the framing.
TEST(BrokenResponse, withAMalformedFieldNameIsNotForwarded)
{
    start();
    std::vector<BrokenForm> forms;
    for (const char character : { ' ', '\t', '\x01', '\x7f', '\0', '\r', '\xe9' }) {
        const std::string byte(1, character);
        forms.push_back({ .lines = "X" + byte + "a: v\r\n" + lengthLine(brokenEvent) });
        forms.push_back({ .lines = "Content" + byte + "Length: 3\r\n" });
        forms.push_back({ .lines = "Content-Length" + byte + ": 3\r\n" });
    }
    play(forms);
}

// Guards against a body in a coding that its caller does not learn of.
TEST(BrokenResponse, inAnUnsupportedTransferCodingIsNotForwarded)
{
    start();
    play({ { .lines = "Transfer-Encoding: gzip\r\n" }, { .lines = "Transfer-Encoding: chunked, identity\r\n" },
        { .lines = "Transfer-Encoding: gzip, chunked\r\n", .body = chunkOf(brokenEvent) + "0\r\n\r\n" } });
}

// Guards against a response that stops in its header and is forwarded with an empty or short body.
TEST(BrokenResponse, thatStopsInItsHeaderIsNotForwarded)
{
    start();
    std::vector<BrokenForm> forms;
    for (const char* lines : { "", "Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n" }) {
        for (const std::size_t missingBytes : { 1, 2, 3, 4, 9, 40 }) {
            for (const ConnectionEnd end : { ConnectionEnd::Close, ConnectionEnd::Reset })
                forms.push_back({ .lines = lines, .body = "", .missingBytes = missingBytes, .end = end });
        }
    }
    play(forms);
}

// Guards against engines that get stage results from a response whose status is of no defined class.
TEST(BrokenResponse, ofAStageServerYieldsNoResults)
{
    int runs = 0;
    cluster.addScriptedServer("engines", "v1", [&runs](const HttpRequest&) -> ScriptedResponse {
        ++runs;
        return { .parts = { event } };
    });
    cluster.addScriptedServer("stages", "v1", [](const HttpRequest&) -> ScriptedResponse {
        const std::string body = R"({"entries":[{"handle":"127.0.0.1:1/broken"}]})";
        return { .rawBytes = "HTTP/1.1 000 Failed\r\n" + lengthLine(body) + "\r\n" + body };
    });
    cluster.waitUntilReady();
    const ClusterResponse response = cluster.call(0, { .path = "/staged/x", .content = "x" });
    CHECK_FALSE(response.status == 200);
    LONGS_EQUAL(0, runs);
}
