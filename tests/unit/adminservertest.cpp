#include "property.h"

#include "libnet/adminserver.h"
#include "libnet/httpclient.h"

#include <boost/asio/co_spawn.hpp>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

struct AdminServerFixture {
    MetricRegistry metrics;
    bool healthy = true;

    HttpResponse request(const HttpCall& call)
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
    AdminServerFixture fixture;
    const HttpResponse metrics = fixture.request({ .target = "/metrics" });
    LONGS_EQUAL(200, metrics.status);
    CHECK_TRUE(metrics.body.find("depth 3\n") != std::string::npos);
    STRCMP_EQUAL(R"({"epoch":7})", fixture.request({ .target = "/state" }).body.c_str());
    LONGS_EQUAL(200, fixture.request({ .target = "/health" }).status);
    fixture.healthy = false;
    const HttpResponse unhealthy = fixture.request({ .target = "/health" });
    LONGS_EQUAL(503, unhealthy.status);
    STRCMP_EQUAL(R"({"healthy":false,"detail":"no evidence"})", unhealthy.body.c_str());
}

TEST(AdminServer, rejectsOtherPathsAndMethods)
{
    AdminServerFixture fixture;
    LONGS_EQUAL(404, fixture.request({ .target = "/" }).status);
    LONGS_EQUAL(405, fixture.request({ .method = "POST", .target = "/state" }).status);
}
