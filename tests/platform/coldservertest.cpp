#include "clustersupport.h"
#include "gatewayfixture.h"
#include "scriptedserver.h"

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

    void setColdTime(Milliseconds time)
    {
        ServingConfig config = *view.config();
        ++config.version;
        config.pools.at(PoolId("plain")).coldTime = time;
        view.applyConfig(std::move(config), view.configRevision() + 1);
    }
    // Starts a server at a port that counts its requests and closes each connection after its response.
    std::unique_ptr<ScriptedServer> startAt(std::uint16_t port, int& requests)
    {
        return std::make_unique<ScriptedServer>(context, port, [&requests](const HttpRequest&) -> ScriptedResponse {
            ++requests;
            return { .parts = { "done" }, .framing = BodyFraming::Length, .end = ConnectionEnd::Close };
        });
    }

    // Makes calls with time for the server to close its connection. Returns the number of complete responses of a server.
    int callInTurn(int calls)
    {
        int served = 0;
        for (int number = 0; number < calls; ++number) {
            served += call("/once/x").status == 200 ? 1 : 0;
            runFor(Milliseconds(15));
        }
        return served;
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

// Guards against a server that comes back cold under its ID while the store is away, and is taken for warm.
TEST(ColdServer, countsAsColdWhenItIsBackAfterItRefusedConnections)
{
    setColdTime(Milliseconds(2000));
    const std::uint16_t port = findFreePort();
    view.servers().put({ .id = BackendServerId("back"),
                           .pool = PoolId("plain"),
                           .endpoint = { "127.0.0.1", port },
                           .softwareVersion = SoftwareVersion("v1"),
                           .startedAt = 1 },
        RuntimeClock::now());
    auto server = startAt(port, coldRequests);
    LONGS_EQUAL(20, callInTurn(20));
    server.reset();
    LONGS_EQUAL(0, callInTurn(10));
    server = startAt(port, coldRequests);
    coldRequests = 0;
    // Time in which the lost link is found to be back.
    runFor(Milliseconds(600));
    const int served = callInTurn(40);
    // The pool's cold rate is zero, so only the tolerance is left.
    CHECK_COMPARE(coldRequests, <=, 5);
    CHECK_COMPARE(served, >, 0);
    runFor(Milliseconds(2500));
    LONGS_EQUAL(20, callInTurn(20));
}
