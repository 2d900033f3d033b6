#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

std::string responseText(const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string resultText(int call)
{
    return responseText(R"({"entries":[{"handle":"127.0.0.1:1/)" + std::to_string(call) + R"("}]})");
}

}

TEST_GROUP(RepeatedResponse)
{
    GatewayCluster cluster { 1, ClusterRetries::Allowed };
};

// Guards against passing the results of one request to another one, because a server sends a response again, late,
// on a connection that is in use for the next call.
TEST(RepeatedResponse, aStageResultGoesToOneRequestOnly)
{
    std::vector<std::string> inputs;
    cluster.addScriptedServer("engines", "v1", [&inputs](const HttpRequest& request) -> ScriptedResponse {
        inputs.emplace_back(request.field(Names::inputHandlesField));
        return { .parts = { "id: 1\ndata: a\n\n" } };
    });
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
