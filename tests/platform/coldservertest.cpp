#include "gatewayfixture.h"

#include "libnet/asyncevent.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

class ColdServerTestBase : public Utest, public GatewayFixture {
public:
    // Adds a server that counts its requests, cold for some seconds or not at all.
    void addCountingServer(const char* id, Milliseconds coldTime, int& requests)
    {
        const std::uint16_t port
            = addServer(id, "plain", [&requests](HttpExchange& exchange) -> boost::asio::awaitable<void> {
                  ++requests;
                  co_await respondSigned(exchange, 200, "done");
              });
        view.servers().put({ .id = BackendServerId(id),
                               .pool = PoolId("plain"),
                               .endpoint = { "127.0.0.1", port },
                               .softwareVersion = SoftwareVersion("v1"),
                               .coldTimeLeft = coldTime,
                               .startedAt = 1 },
            RuntimeClock::now());
    }

    int coldRequests = 0;
    int warmRequests = 0;
};

}

// Requests of pools without streams to servers that have just started.
TEST_GROUP_BASE(ColdServer, ColdServerTestBase) {};

// Guards against a cold server of a pool without streams that gets requests without a bound.
TEST(ColdServer, getsNoMoreThanItsBoundAndTheOthersServeTheRest)
{
    addCountingServer("cold", Milliseconds(3000), coldRequests);
    addCountingServer("warm", Milliseconds(0), warmRequests);
    constexpr int requests = 40;
    for (int request = 0; request < requests; ++request)
        LONGS_EQUAL(200, call(request % 2 == 0 ? "/once/x" : "/again/x").status);
    // The pool's cold rate is zero, so only the tolerance is left.
    CHECK_COMPARE(coldRequests, <=, 5);
    CHECK_COMPARE(coldRequests, >, 0);
    LONGS_EQUAL(requests, coldRequests + warmRequests);
}

// Guards against a server that counts as unresponsive because this host may not send it more while it is cold.
TEST(ColdServer, isUsedAsUsualOnceItIsWarm)
{
    addCountingServer("cold", Milliseconds(300), coldRequests);
    for (int request = 0; request < 10; ++request) {
        const int status = call("/once/x").status;
        CHECK_TRUE(status == 200 || status == 503);
    }
    runFor(Milliseconds(1500));
    for (int request = 0; request < 20; ++request)
        LONGS_EQUAL(200, call("/once/x").status);
}
