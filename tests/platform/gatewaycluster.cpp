#include "gatewaycluster.h"

#include "clustersupport.h"

#include "libnet/asyncevent.h"
#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <thread>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;
namespace json = boost::json;

namespace {

constexpr const char* poisonWord = "poison";
// Processes use their share of the slack a window after their start.
constexpr double shortRetryWindowSeconds = 0.5;
constexpr std::int64_t firstStart = 1'700'000'000'000;
// A server whose process ended is removed from the store after this time.
constexpr Milliseconds registrationTimeout { 3600 };
// Time that a run of an ordinary request takes.
constexpr Milliseconds runTime { 30 };

constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* secondEvent = "id: 2\ndata: b\n\n";

bool hasPromptPart(const HttpRequest& request, const std::string& part)
{
    const std::string parts = "," + std::string(request.field(Names::promptPartsField));
    return !part.empty() && parts.find("," + part + ":") != std::string::npos;
}

}

struct GatewayCluster::BackendServer {
    std::string pool;
    std::string id;
    std::uint16_t port = 0;
    std::int64_t startedAt = 0;
    bool isUp = false;
    // Shared with the handlers, which may be destroyed after the server.
    std::shared_ptr<std::set<HttpExchange*>> exchanges = std::make_shared<std::set<HttpExchange*>>();
    // Listeners of earlier starts are kept until their connections have ended.
    std::vector<std::unique_ptr<HttpServer>> listeners;
};

struct GatewayCluster::Host {
    std::uint16_t callers = findFreePort();
    std::uint16_t readiness = findFreePort();
    std::uint16_t peers = findFreePort();
    std::uint16_t admin = findFreePort();
    std::unique_ptr<GatewayDaemon> daemon;
};

GatewayCluster::GatewayCluster(std::size_t hosts, ClusterRetries retries)
    : m_retries(retries)
{
    const json::value config = json::parse(clusterConfig);
    Asio::co_spawn(m_context, writeEntry(std::string(Names::configurationKey), config), Asio::detached);
    for (std::size_t host = 0; host < hosts; ++host)
        m_hosts.push_back(std::make_unique<Host>());
    for (std::size_t host = 0; host < hosts; ++host)
        restartHost(host);
}

GatewayCluster::~GatewayCluster() = default;

GatewaySettings GatewayCluster::settingsFor(std::size_t host) const
{
    const Host& entry = *m_hosts.at(host);
    GatewaySettings settings { .callers = localAddress(entry.callers),
        .readiness = localAddress(entry.readiness),
        .peers = localAddress(entry.peers),
        .admin = localAddress(entry.admin),
        .seeds = localAddress(m_hosts.front()->peers),
        .store = localAddress(m_platform.port()) };
    if (m_retries == ClusterRetries::Allowed)
        settings.retryWindowSeconds = shortRetryWindowSeconds;
    if (m_retries == ClusterRetries::Never)
        settings.retryRatio = settings.retrySlack = 0;
    settings.process.host = HostId("host-" + std::to_string(host));
    settings.process.failureDomain = FailureDomainId("zone-" + std::to_string(host % 3));
    return settings;
}

void GatewayCluster::restartHost(std::size_t host)
{
    killHost(host);
    m_hosts.at(host)->daemon = std::make_unique<GatewayDaemon>(settingsFor(host), "");
    m_hosts.at(host)->daemon->start();
}

void GatewayCluster::killHost(std::size_t host)
{
    m_hosts.at(host)->daemon.reset();
}

void GatewayCluster::addServers(const std::string& pool, int count)
{
    for (int index = 0; index < count; ++index) {
        auto server = std::make_unique<BackendServer>();
        server->pool = pool;
        server->port = findFreePort();
        m_servers.push_back(std::move(server));
        startServer(*m_servers.back());
    }
}

void GatewayCluster::startServer(BackendServer& server)
{
    const int number = m_nextServer++;
    server.id = "server-" + std::to_string(number);
    server.startedAt = firstStart + number;
    server.isUp = true;
    server.listeners.push_back(std::make_unique<HttpServer>(m_context,
        HttpServerOptions { .port = server.port },
        [this, &server](HttpExchange& exchange) { return serve(server, exchange); }));
    registerServer(server, "v1");
}

void GatewayCluster::registerServer(const BackendServer& server, const std::string& version)
{
    const std::string zone = "zone-" + std::to_string(server.startedAt % 3);
    Asio::co_spawn(m_context,
        writeEntry("servers/" + server.id,
            { { "service", server.pool }, { "addr", localAddress(server.port) }, { "zone", zone },
                { "version", version }, { "slots", 8 }, { "state", "ready" }, { "coldLeftMs", 0 },
                { "seq", 1 }, { "born", server.startedAt } }),
        Asio::detached);
}

void GatewayCluster::addScriptedServer(
    const std::string& pool, const std::string& version, ResponseScript script)
{
    const int number = m_nextServer++;
    const BackendServer server { .pool = pool,
        .id = "server-" + std::to_string(number),
        .port = findFreePort(),
        .startedAt = firstStart + number };
    m_scriptedServers.push_back(
        std::make_unique<ScriptedServer>(m_context, server.port, std::move(script)));
    m_scriptedEntries.emplace(version, "servers/" + server.id);
    registerServer(server, version);
}

void GatewayCluster::removeScriptedServers(const std::string& version)
{
    const auto [begin, end] = m_scriptedEntries.equal_range(version);
    for (auto entry = begin; entry != end; ++entry)
        Asio::co_spawn(m_context, removeEntry(entry->second, Milliseconds(0)), Asio::detached);
}

void GatewayCluster::endServer(BackendServer& server)
{
    server.isUp = false;
    server.listeners.back()->stopAccepting();
    for (HttpExchange* exchange : *server.exchanges)
        exchange->abort();
    Asio::co_spawn(m_context, removeEntry("servers/" + server.id, registrationTimeout), Asio::detached);
    Asio::co_spawn(m_context, returnLater(server), Asio::detached);
}

Asio::awaitable<void> GatewayCluster::returnLater(BackendServer& server)
{
    co_await sleepFor(m_context.get_executor(), serverDownTime);
    startServer(server);
}

Asio::awaitable<void> GatewayCluster::writeEntry(std::string key, json::value value)
{
    co_await m_store.put(std::move(key), std::move(value), std::nullopt);
}

Asio::awaitable<void> GatewayCluster::removeEntry(std::string key, Milliseconds delay)
{
    co_await sleepFor(m_context.get_executor(), delay);
    co_await m_store.remove(std::move(key), std::nullopt);
}

bool GatewayCluster::recordRun(BackendServer& server, const std::string& content)
{
    const bool isFatal = content.find(poisonWord) != std::string::npos;
    runs.push_back({ server.pool, RuntimeClock::now(), content, isFatal });
    if (isFatal)
        endServer(server);
    return !isFatal;
}

Asio::awaitable<void> GatewayCluster::serve(BackendServer& server, HttpExchange& exchange)
{
    struct Registration {
        Registration(std::shared_ptr<std::set<HttpExchange*>> all, HttpExchange& exchange)
            : exchanges(std::move(all))
            , own(exchange)
        {
            exchanges->insert(&own);
        }
        ~Registration() { exchanges->erase(&own); }
        std::shared_ptr<std::set<HttpExchange*>> exchanges;
        HttpExchange& own;
    };
    const Registration registration(server.exchanges, exchange);
    const std::string_view expected = exchange.request().field(Names::expectInstanceField);
    if (!expected.empty() && expected != server.id)
        co_return co_await exchange.respond(421, "text/plain", "");
    if (server.pool == "stages")
        co_return co_await serveStageCall(server, exchange);
    if (hasPromptPart(exchange.request(), fatalPart)) {
        const std::size_t turn = runsOf(poisonWord).size();
        co_return co_await endWhileResponding(server, exchange, fatalMoments[turn % fatalMoments.size()]);
    }
    if (!recordRun(server, exchange.request().body))
        co_return;
    if (server.pool == "plain") {
        co_await sleepFor(m_context.get_executor(), runTime);
        co_return co_await exchange.respond(200, "text/plain", "done", signedFields(exchange.request()));
    }
    co_await exchange.beginStream(200, "text/event-stream", signedFields(exchange.request()));
    co_await exchange.writeChunk(firstEvent);
    co_await sleepFor(m_context.get_executor(), runTime);
    co_await exchange.writeChunk(secondEvent);
    co_await exchange.endStream();
}

Asio::awaitable<void> GatewayCluster::endWhileResponding(
    BackendServer& server, HttpExchange& exchange, FatalMoment moment)
{
    if (moment != FatalMoment::BeforeHead)
        co_await exchange.beginStream(200, "text/event-stream", signedFields(exchange.request()));
    if (moment == FatalMoment::AfterEvent)
        co_await exchange.writeChunk(firstEvent);
    if (moment == FatalMoment::InsideEvent)
        co_await exchange.writeChunk(std::string(firstEvent) + "id: 2\nda");
    co_await sleepFor(m_context.get_executor(), runTime);
    runs.push_back({ server.pool, RuntimeClock::now(), exchange.request().body, true });
    if (server.isUp)
        endServer(server);
}

Asio::awaitable<void> GatewayCluster::serveStageCall(BackendServer& server, HttpExchange& exchange)
{
    if (exchange.request().path == Names::stageFreePath)
        co_return co_await exchange.respond(200, "application/json", "{}");
    const json::value call = json::parse(exchange.request().body);
    std::string keys;
    json::array results;
    for (const json::value& entry : call.at("entries").as_array()) {
        keys += std::string(entry.at("key").as_string()) + " ";
        results.push_back(json::object {
            { "handle", localAddress(server.port) + "/" + std::to_string(m_nextHandle++) } });
    }
    if (!recordRun(server, keys))
        co_return;
    co_await sleepFor(m_context.get_executor(), runTime);
    const std::string body = json::serialize(json::object { { "entries", std::move(results) } });
    co_await exchange.respond(200, "application/json", body);
}

void GatewayCluster::send(std::size_t host, const std::string& path, const std::string& content)
{
    send(host, { .path = path, .content = content });
}

void GatewayCluster::send(std::size_t host, const ClusterRequest& request)
{
    startCall(host, request);
}

ClusterResponse GatewayCluster::call(std::size_t host, const ClusterRequest& request)
{
    const std::size_t index = startCall(host, request);
    runUntil([&] { return responses[index].hasEnded; }, Milliseconds(10'000));
    return responses[index];
}

std::size_t GatewayCluster::startCall(std::size_t host, const ClusterRequest& request)
{
    const std::string id = "r" + std::to_string(m_nextRequest++);
    HttpCall call { .method = "POST", .target = request.path, .fields = request.fields, .body = request.content };
    const std::vector<HttpField> fields { { "Host", "h" }, { std::string(Names::requestIdField), id },
        { std::string(Names::deadlineField), "6000" }, { std::string(Names::pieceCountsField), "1" },
        { std::string(Names::pieceKeyField), request.content } };
    call.fields.insert(call.fields.end(), fields.begin(), fields.end());
    responses.push_back({ .content = request.content, .id = id, .sentAt = RuntimeClock::now() });
    Asio::co_spawn(m_context,
        callHost(m_hosts.at(host)->callers, std::move(call), responses.size() - 1), Asio::detached);
    return responses.size() - 1;
}

Asio::awaitable<void> GatewayCluster::callHost(std::uint16_t port, HttpCall call, std::size_t index)
{
    HttpClient client(m_context, { .port = port });
    call.timeout = Milliseconds(8000);
    try {
        const std::unique_ptr<HttpStream> stream = co_await client.open(std::move(call));
        responses[index].status = stream->status();
        while (const std::optional<std::string> data = co_await stream->read())
            responses[index].body += *data;
        responses[index].isComplete = true;
    } catch (const boost::system::system_error&) {
        // The response stays incomplete.
    }
    responses[index].hasEnded = true;
}

void GatewayCluster::endServer(const std::string& pool, std::size_t position)
{
    for (const auto& server : m_servers) {
        if (server->pool == pool && position-- == 0 && server->isUp)
            endServer(*server);
    }
}

void GatewayCluster::endServers(const std::string& pool)
{
    for (const auto& server : m_servers) {
        if (server->pool == pool)
            endServer(*server);
    }
}

void GatewayCluster::resetConnections(const std::string& pool)
{
    for (const auto& server : m_servers) {
        if (server->pool != pool)
            continue;
        for (HttpExchange* exchange : *server->exchanges)
            exchange->abort();
    }
}

void GatewayCluster::setStoreFaults(const std::string& faults)
{
    HttpCall call { .method = "POST", .target = "/faults", .body = faults };
    Asio::co_spawn(
        m_context,
        [this, call = std::move(call)]() mutable -> Asio::awaitable<void> {
            HttpClient client(m_context, { .port = m_platform.port() });
            co_await client.send(std::move(call));
        },
        Asio::detached);
    runFor(Milliseconds(20));
}

std::string GatewayCluster::metricsOf(std::size_t host)
{
    std::string text;
    bool isDone = false;
    Asio::co_spawn(
        m_context,
        [&]() -> Asio::awaitable<void> {
            HttpClient client(m_context, { .port = m_hosts.at(host)->admin });
            HttpCall call { .target = "/metrics" };
            const HttpResponse response = co_await client.send(std::move(call));
            text = response.body;
            isDone = true;
        },
        Asio::detached);
    runUntil([&] { return isDone; }, Milliseconds(2000));
    return text;
}

void GatewayCluster::waitUntilReady()
{
    std::size_t ready = 0;
    for (const auto& host : m_hosts) {
        Asio::co_spawn(
            m_context,
            [this, &ready, port = host->readiness]() -> Asio::awaitable<void> {
                HttpClient client(m_context, { .port = port });
                int status = 0;
                while (status != 200) {
                    co_await sleepFor(m_context.get_executor(), Milliseconds(50));
                    HttpCall call { .target = std::string(Names::readinessPath) };
                    const HttpResponse response = co_await client.send(std::move(call));
                    status = response.status;
                }
                ++ready;
            },
            Asio::detached);
    }
    runUntil([&] { return ready == m_hosts.size(); }, Milliseconds(10'000));
    LONGS_EQUAL(m_hosts.size(), ready);
    // The hosts and servers that were registered meanwhile are known to all hosts after this time.
    runFor(Milliseconds(1700));
}

void GatewayCluster::runFor(Milliseconds time)
{
    runUntil([] { return false; }, time);
}

void GatewayCluster::runUntil(const std::function<bool()>& isDone, Milliseconds timeout)
{
    constexpr std::chrono::microseconds idleTime { 300 };
    const TimePoint end = RuntimeClock::now() + timeout;
    while (!isDone() && RuntimeClock::now() < end) {
        m_context.restart();
        std::size_t handled = m_context.poll();
        for (const auto& host : m_hosts) {
            if (!host->daemon)
                continue;
            host->daemon->context().restart();
            handled += host->daemon->context().poll();
        }
        if (handled == 0)
            std::this_thread::sleep_for(idleTime);
    }
}

std::vector<ScriptedRun> GatewayCluster::runsOf(const std::string& word) const
{
    std::vector<ScriptedRun> found;
    std::copy_if(runs.begin(), runs.end(), std::back_inserter(found),
        [&word](const ScriptedRun& run) { return run.content.find(word) != std::string::npos; });
    return found;
}

std::size_t GatewayCluster::runsAfterEnds(std::size_t ends, const std::string& word, Milliseconds time) const
{
    const std::vector<ScriptedRun> found = runsOf(word);
    if (found.size() < ends)
        return 0;
    const TimePoint from = found[ends - 1].startedAt + time;
    return static_cast<std::size_t>(std::count_if(
        found.begin(), found.end(), [from](const ScriptedRun& run) { return run.startedAt > from; }));
}

std::size_t GatewayCluster::countResponses(const std::string& word, int status) const
{
    return static_cast<std::size_t>(
        std::count_if(responses.begin(), responses.end(), [&](const ClusterResponse& response) {
            return response.isComplete && response.status == status
                && response.content.find(word) != std::string::npos;
        }));
}
