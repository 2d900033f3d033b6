#include "gatewayfixture.h"

#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;

namespace {

Route makeRoute(const char* path, RetryRule rule, const char* pool)
{
    return { .name = path,
        .host = "h",
        .pathPrefix = path,
        .retryRule = rule,
        .timeout = Milliseconds(3000),
        .objective = Milliseconds(1000),
        .attemptLimit = 2,
        .pools = { { .pool = PoolId(pool) } } };
}

ServingConfig makeConfig()
{
    ServingConfig config { .version = 1 };
    config.routes.push_back(makeRoute("/once/", RetryRule::NotIdempotent, "plain"));
    config.routes.push_back(makeRoute("/again/", RetryRule::Idempotent, "plain"));
    Route stream = makeRoute("/stream/", RetryRule::Stream, "engines");
    stream.isResumable = true;
    stream.stages = { { .pool = PoolId("stages"), .resultBytes = 1000 } };
    config.routes.push_back(std::move(stream));
    config.pools[PoolId("plain")] = { .id = PoolId("plain") };
    config.pools[PoolId("engines")]
        = { .id = PoolId("engines"), .engine = EngineTraits { .slots = 4, .memoryTokens = 1e5 } };
    config.pools[PoolId("stages")] = { .id = PoolId("stages"),
        .stage = StageTraits { .batchLimit = 4,
            .callTime = Milliseconds(20),
            .pieceMilliseconds = 1,
            .resultCapacityBytes = 1e6,
            .resultLifetime = Milliseconds(4000) } };
    return config;
}

std::vector<HttpField> signedFields(const HttpExchange& exchange)
{
    return { { std::string(Names::requestIdField),
                 std::string(exchange.request().field(Names::requestIdField)) },
        { std::string(Names::signatureField), "signature" } };
}

}

GatewayFixture::GatewayFixture()
    : m_callerServer(context, {}, [this](HttpExchange& exchange) { return requests.serve(exchange); })
{
    view.applyConfig(makeConfig(), 1);
    retries.setHosts({ HostId("h1") }, RuntimeClock::now());
    coldLimiter.setHosts(HostId("h1"), { HostId("h1") }, RuntimeClock::now());
}

std::uint16_t GatewayFixture::addServer(const char* id, const char* pool, Handler handler)
{
    m_servers.push_back(
        std::make_unique<HttpServer>(context, HttpServerOptions {}, std::move(handler)));
    const ServerEntry entry { .id = BackendServerId(id),
        .pool = PoolId(pool),
        .endpoint = { "127.0.0.1", m_servers.back()->port() },
        .softwareVersion = SoftwareVersion("v1") };
    view.servers().put(entry, RuntimeClock::now());
    return m_servers.back()->port();
}

void GatewayFixture::runFor(Milliseconds time)
{
    context.restart();
    context.run_for(time);
}

HttpResponse GatewayFixture::call(const std::string& path, std::vector<HttpField> fields)
{
    HttpClient client(context, { .port = m_callerServer.port() });
    HttpResponse response;
    std::exception_ptr failure;
    HttpCall call { .method = "POST", .target = path, .fields = std::move(fields) };
    call.fields.push_back({ "Host", "h" });
    call.fields.push_back({ std::string(Names::requestIdField), "r1" });
    call.fields.push_back({ std::string(Names::deadlineField), "3000" });
    Asio::co_spawn(
        context,
        [&]() -> Asio::awaitable<void> { response = co_await client.send(std::move(call)); },
        [&](std::exception_ptr error) {
            failure = error;
            context.stop();
        });
    context.restart();
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return response;
}

Asio::awaitable<void> GatewayFixture::respondSigned(
    HttpExchange& exchange, int status, std::string body)
{
    co_await exchange.respond(status, "text/plain", std::move(body), signedFields(exchange));
}

Asio::awaitable<void> GatewayFixture::respondNotRun(HttpExchange& exchange, int status)
{
    std::vector<HttpField> fields { { std::string(Names::notRunField), "1" } };
    co_await exchange.respond(status, "text/plain", "", std::move(fields));
}

Asio::awaitable<void> GatewayFixture::beginSignedStream(HttpExchange& exchange)
{
    co_await exchange.beginStream(200, "text/event-stream", signedFields(exchange));
}
