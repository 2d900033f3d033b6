#include "gatewayfixture.h"

#include "libnet/asyncevent.h"
#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;

namespace {

class GatewayTestBase : public Utest, public GatewayFixture {
public:
    // Adds a stage server that returns a new result for each call of one piece.
    void addStageServer()
    {
        stagePort = addServer("stage", "stages", [this](HttpExchange& exchange) -> Asio::awaitable<void> {
            if (exchange.request().path == Names::stageFreePath) {
                ++releases;
                co_await exchange.respond(200, "application/json", "{}");
                co_return;
            }
            ++stageCalls;
            co_await exchange.respond(200, "application/json",
                R"({"entries":[{"handle":")" + handleOf(stageCalls) + R"("}]})");
        });
    }

    // Handle of the result that the stage server returned for a call, counted from one.
    std::string handleOf(int stageCall) const
    {
        return "127.0.0.1:" + std::to_string(stagePort) + "/h" + std::to_string(stageCall);
    }

    HttpResponse callStream()
    {
        return call("/stream/x", { { std::string(Names::pieceCountsField), "1" } });
    }

    std::uint16_t stagePort = 0;
    int stageCalls = 0;
    int releases = 0;
};

}

TEST_GROUP_BASE(Gateway, GatewayTestBase) {};

TEST(Gateway, forwardsACompleteResponseUnchanged)
{
    addServer("s1", "plain", [](HttpExchange& exchange) { return respondSigned(exchange, 200, "yes"); });
    const HttpResponse response = call("/once/x");
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("yes", response.body.c_str());
    STRCMP_EQUAL("signature", std::string(response.field(Names::signatureField)).c_str());
}

// Guards against one retry acquiring two permits: only one is available here.
TEST(Gateway, aRetryAfterAnErrorUsesOneRetryPermit)
{
    retries.setOptions({ .ratio = 0, .slack = 1.5 });
    addServer("s1", "plain", [](HttpExchange& exchange) { return respondSigned(exchange, 500, "no"); });
    addServer("s2", "plain", [](HttpExchange& exchange) { return respondSigned(exchange, 200, "yes"); });
    LONGS_EQUAL(200, call("/again/x").status);
}

TEST(Gateway, forwardsAnErrorWhenNoRetryPermitIsLeft)
{
    retries.setOptions({ .ratio = 0, .slack = 0 });
    addServer("s1", "plain", [](HttpExchange& exchange) { return respondSigned(exchange, 500, "no"); });
    addServer("s2", "plain", [](HttpExchange& exchange) { return respondSigned(exchange, 200, "yes"); });
    const HttpResponse response = call("/again/x");
    LONGS_EQUAL(500, response.status);
    STRCMP_EQUAL("no", response.body.c_str());
}

TEST(Gateway, retriesANonIdempotentRequestOnlyAfterProofThatItDidNotRun)
{
    int runs = 0;
    addServer("s1", "plain", [](HttpExchange& exchange) { return respondNotRun(exchange, 503); });
    addServer("s2", "plain", [&runs](HttpExchange& exchange) -> Asio::awaitable<void> {
        ++runs;
        exchange.abort();
        co_return;
    });
    addServer("s3", "plain", [&runs](HttpExchange& exchange) {
        ++runs;
        return respondSigned(exchange, 200, "yes");
    });
    LONGS_EQUAL(502, call("/once/x").status);
    LONGS_EQUAL(1, runs);
}

TEST(Gateway, passesStageResultsToTheEngineAndReleasesThemAfterItsFirstEvent)
{
    addStageServer();
    std::string inputs;
    addServer("e1", "engines", [&inputs](HttpExchange& exchange) -> Asio::awaitable<void> {
        inputs = exchange.request().field(Names::inputHandlesField);
        co_await beginSignedStream(exchange);
        co_await exchange.writeChunk("id: 1\ndata: a\n\n");
        co_await exchange.endStream();
    });
    const HttpResponse response = callStream();
    LONGS_EQUAL(200, response.status);
    STRCMP_EQUAL("id: 1\ndata: a\n\n", response.body.c_str());
    STRCMP_EQUAL(handleOf(1).c_str(), inputs.c_str());
    LONGS_EQUAL(1, stageCalls);
    runFor(Milliseconds(200));
    LONGS_EQUAL(1, releases);
}

TEST(Gateway, runsStagesAgainWhenTheEngineReportsMissingInputs)
{
    addStageServer();
    int sends = 0;
    std::string inputs;
    addServer("e1", "engines", [&](HttpExchange& exchange) -> Asio::awaitable<void> {
        inputs = exchange.request().field(Names::inputHandlesField);
        if (++sends == 1) {
            co_await respondNotRun(exchange, 409);
            co_return;
        }
        co_await beginSignedStream(exchange);
        co_await exchange.writeChunk("id: 1\ndata: a\n\n");
        co_await exchange.endStream();
    });
    LONGS_EQUAL(200, callStream().status);
    LONGS_EQUAL(2, stageCalls);
    STRCMP_EQUAL(handleOf(2).c_str(), inputs.c_str());
}

TEST(Gateway, resumesABrokenStreamAtAnotherEngineInTheSameResponse)
{
    addStageServer();
    std::string lastEvent;
    int sends = 0;
    const auto serve = [&](HttpExchange& exchange) -> Asio::awaitable<void> {
        co_await beginSignedStream(exchange);
        if (++sends == 1) {
            co_await exchange.writeChunk("id: 1\ndata: a\n\nid: 2\nda");
            exchange.abort();
            co_return;
        }
        lastEvent = exchange.request().field(Names::lastEventField);
        co_await exchange.writeChunk("id: 2\ndata: b\n\n");
        co_await exchange.endStream();
    };
    addServer("e1", "engines", serve);
    addServer("e2", "engines", serve);
    const HttpResponse response = callStream();
    STRCMP_EQUAL("id: 1\ndata: a\n\nid: 2\ndata: b\n\n", response.body.c_str());
    STRCMP_EQUAL("1", lastEvent.c_str());
    LONGS_EQUAL(2, stageCalls);
}

// Guards against events that come twice: an engine begins anew if it is not told the last event.
TEST(Gateway, doesNotResumeAStreamWhoseEventsHaveNoIds)
{
    addStageServer();
    int sends = 0;
    const auto serve = [&](HttpExchange& exchange) -> Asio::awaitable<void> {
        co_await beginSignedStream(exchange);
        co_await exchange.writeChunk("data: a\n\n");
        if (++sends == 1)
            exchange.abort();
        else
            co_await exchange.endStream();
    };
    addServer("e1", "engines", serve);
    addServer("e2", "engines", serve);
    CHECK_THROWS(boost::system::system_error, callStream());
    LONGS_EQUAL(1, sends);
}

TEST(Gateway, aStoppingHostRunsItsOwnStagesWhenItIsTheOnlyHost)
{
    addStageServer();
    addServer("e1", "engines", [](HttpExchange& exchange) -> Asio::awaitable<void> {
        co_await beginSignedStream(exchange);
        co_await exchange.writeChunk("id: 1\ndata: a\n\n");
        co_await exchange.endStream();
    });
    home.stop();
    LONGS_EQUAL(200, callStream().status);
}

TEST(Gateway, withoutEnginesTheResponseSaysThatNothingRan)
{
    addStageServer();
    const HttpResponse response = callStream();
    LONGS_EQUAL(503, response.status);
    CHECK(!response.field("Retry-After").empty());
}

// Guards against lost requests: a host that stopped while a request still waited for its stages cut the
// connection instead of refusing the request.
TEST(Gateway, refusesWaitingRequestsWhenTheHostStops)
{
    addServer("stage", "stages", [this](HttpExchange&) -> Asio::awaitable<void> {
        co_await sleepFor(context.get_executor(), Milliseconds(2500));
    });
    Asio::co_spawn(
        context,
        [this]() -> Asio::awaitable<void> {
            co_await sleepFor(context.get_executor(), Milliseconds(30));
            requests.refuseUnsent();
        },
        Asio::detached);
    const TimePoint startedAt = RuntimeClock::now();
    const HttpResponse response = callStream();
    LONGS_EQUAL(503, response.status);
    CHECK(!response.field("Retry-After").empty());
    CHECK(RuntimeClock::now() - startedAt < Milliseconds(1000));
}

// Guards against memory that a stage's home takes for the pieces of one request.
TEST(Gateway, refusesARequestWithMorePiecesThanAnyMayHave)
{
    addStageServer();
    for (const char* counts : { "4097", "1,2147483647" })
        LONGS_EQUAL(400, call("/stream/x", { { std::string(Names::pieceCountsField), counts } }).status);
    LONGS_EQUAL(0, stageCalls);
}

// Guards against 401 for a key that was added to a configuration which this host does not have yet.
TEST(Gateway, aKeyIsRefusedForGoodOnlyByAConfigurationThatIsNotOverdue)
{
    ServingConfig config = *view.config();
    config.version = 2;
    config.owners = std::vector<Owner> { { .id = OwnerId("owner"), .keys = { "known" } } };
    view.applyConfig(std::move(config), 2);
    const TimePoint now = RuntimeClock::now();
    view.confirmConfig(now, now + Milliseconds(5000));
    const std::vector<HttpField> fields { { "Authorization", "Bearer other" } };
    LONGS_EQUAL(401, call("/again/x", fields).status);
    view.confirmConfig(now, now);
    const HttpResponse response = call("/again/x", fields);
    LONGS_EQUAL(503, response.status);
    CHECK_FALSE(response.field(Names::retryAfterField).empty());
}
