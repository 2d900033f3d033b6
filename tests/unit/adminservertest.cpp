#include "property.h"

#include "libnet/adminserver.h"
#include "libnet/httpclient.h"

#include <boost/asio/co_spawn.hpp>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

struct Served {
    MetricRegistry metrics;
    bool healthy = true;

    HttpResponse ask(const HttpCall& call)
    {
        Asio::io_context context;
        AdminServer server(context, metrics,
            { .state = [] { return boost::json::value { { "epoch", 7 } }; },
                .health = [this] { return HealthReport { healthy, "no evidence" }; },
                .refreshMetrics = [this] { metrics.gauge("depth", "Depth.").set(3); } });
        HttpClient client(context, { .port = server.port() });
        HttpResponse response;
        Asio::co_spawn(
            context,
            [&]() -> Asio::awaitable<void> { response = co_await client.send(call); },
            [&context](std::exception_ptr /*error*/) { context.stop(); });
        context.run();
        return response;
    }
};

}

TEST_GROUP(AdminServer) {};

TEST(AdminServer, servesMetricsStateAndHealth)
{
    Served served;
    const HttpResponse metrics = served.ask({ .target = "/metrics" });
    LONGS_EQUAL(200, metrics.status);
    CHECK_TRUE(metrics.body.find("depth 3\n") != std::string::npos);
    STRCMP_EQUAL(R"({"epoch":7})", served.ask({ .target = "/state" }).body.c_str());
    LONGS_EQUAL(200, served.ask({ .target = "/health" }).status);
    served.healthy = false;
    const HttpResponse unhealthy = served.ask({ .target = "/health" });
    LONGS_EQUAL(503, unhealthy.status);
    STRCMP_EQUAL(R"({"healthy":false,"detail":"no evidence"})", unhealthy.body.c_str());
}

TEST(AdminServer, refusesOtherPathsAndMethods)
{
    Served served;
    LONGS_EQUAL(404, served.ask({ .target = "/" }).status);
    LONGS_EQUAL(405, served.ask({ .method = "POST", .target = "/state" }).status);
}
