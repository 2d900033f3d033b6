#include "clusterserver.h"
#include "clustersupport.h"

#include "libnet/asyncevent.h"
#include "platform/names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;
namespace json = boost::json;

namespace {

constexpr const char* poisonWord = "poison";
constexpr std::int64_t firstStart = 1'700'000'000'000;
// A server whose process ended is removed from the store after this time.
constexpr Milliseconds registrationTimeout { 3600 };

constexpr const char* firstEvent = "id: 1\ndata: a\n\n";
constexpr const char* secondEvent = "id: 2\ndata: b\n\n";

bool hasPromptPart(const HttpRequest& request, const std::string& part)
{
    const std::string parts = "," + std::string(request.field(Names::promptPartsField));
    return !part.empty() && parts.find("," + part + ":") != std::string::npos;
}

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
    server.sequence = 1;
    server.isUp = true;
    server.admitted = std::make_shared<std::size_t>(0);
    server.running = std::make_shared<std::size_t>(0);
    server.turnedAwayAt.clear();
    server.listeners.push_back(std::make_unique<HttpServer>(m_context,
        HttpServerOptions { .port = server.port },
        [this, &server](HttpExchange& exchange) { return serve(server, exchange); }));
    if (closesConnections)
        server.listeners.back()->closeAfterResponses();
    registerServer(server, "v1");
}

std::vector<HttpField> GatewayCluster::fieldsOf(
    const BackendServer& server, const HttpRequest& request) const
{
    std::vector<HttpField> fields = signedFields(request);
    const auto limit = limits.find(server.id);
    if (limit != limits.end())
        fields.push_back({ std::string(Names::serverLimitField), limit->second });
    if (leaving.contains(server.id))
        fields.push_back({ std::string(Names::serverLeavingField), "1" });
    if (room && server.pool == "plain")
        fields.push_back({ std::string(Names::serverBrittleField), std::to_string(room->brittleLimit) });
    return fields;
}

json::value GatewayCluster::entryOf(
    const BackendServer& server, const std::string& version, const std::string& state) const
{
    const std::string zone = "zone-" + std::to_string(server.startedAt % 3);
    return { { "service", server.pool }, { "addr", localAddress(server.port) }, { "zone", zone },
        { "version", version }, { "slots", 8 }, { "state", state }, { "coldLeftMs", 0 },
        { "seq", server.sequence }, { "born", server.startedAt } };
}

void GatewayCluster::registerServer(const BackendServer& server, const std::string& version)
{
    Asio::co_spawn(
        m_context, writeEntry("servers/" + server.id, entryOf(server, version, "ready")), Asio::detached);
}

std::string GatewayCluster::serverId(const std::string& pool, std::size_t position)
{
    return serverAt(pool, position).id;
}

std::string GatewayCluster::reportServer(
    const std::string& pool, std::size_t position, const std::string& state, int sequence)
{
    BackendServer& server = serverAt(pool, position);
    server.sequence = sequence;
    writeObject("servers/" + server.id, entryOf(server, "v1", state));
    return server.id;
}

std::string GatewayCluster::removeServer(const std::string& pool, std::size_t position)
{
    std::string id = serverAt(pool, position).id;
    removeObject("servers/" + id);
    return id;
}

GatewayCluster::BackendServer& GatewayCluster::serverAt(const std::string& pool, std::size_t position)
{
    for (const auto& server : m_servers) {
        if (server->pool == pool && position-- == 0)
            return *server;
    }
    throw std::out_of_range("no server at this position of pool " + pool);
}

void GatewayCluster::addScriptedServer(
    const std::string& pool, const std::string& version, ResponseScript script, ResponseStart start)
{
    const int number = m_nextServer++;
    const BackendServer server { .pool = pool,
        .id = "server-" + std::to_string(number),
        .port = findFreePort(),
        .startedAt = firstStart + number };
    m_scriptedServers.push_back(
        std::make_unique<ScriptedServer>(m_context, server.port, std::move(script), start));
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

bool GatewayCluster::recordRun(BackendServer& server, const std::string& content)
{
    const bool isFatal = content.find(poisonWord) != std::string::npos;
    runs.push_back({ server.pool, server.id, RuntimeClock::now(), content, isFatal });
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
    const auto rest = rests.find(server.id);
    if (rest != rests.end()) {
        turnedAway.push_back({ server.id, exchange.request().body, RuntimeClock::now(), rest->second });
        std::vector<HttpField> fields = fieldsOf(server, exchange.request());
        fields.push_back({ std::string(Names::notRunField), "full" });
        fields.push_back({ std::string(Names::retryAfterField), rest->second });
        co_return co_await exchange.respond(503, "text/plain", "", std::move(fields));
    }
    if (server.pool == "stages")
        co_return co_await serveStageCall(server, exchange);
    if (room && server.pool == "plain")
        co_return co_await serveInRoom(server, exchange);
    if (hasPromptPart(exchange.request(), fatalPart)) {
        const std::size_t turn = runsOf(poisonWord).size();
        co_return co_await endWhileResponding(server, exchange, fatalMoments[turn % fatalMoments.size()]);
    }
    if (!recordRun(server, exchange.request().body))
        co_return;
    exchange.setPeerDisconnectedHandler([this] { ++abandonedRuns; });
    if (server.pool == "plain") {
        co_await sleepFor(m_context.get_executor(), runTime);
        co_return co_await exchange.respond(200, "text/plain", "done", fieldsOf(server, exchange.request()));
    }
    co_await exchange.beginStream(200, "text/event-stream", fieldsOf(server, exchange.request()));
    co_await exchange.writeChunk(firstEvent);
    co_await sleepFor(m_context.get_executor(), runTime);
    co_await exchange.writeChunk(secondEvent);
    co_await exchange.endStream();
}

Asio::awaitable<void> GatewayCluster::serveInRoom(BackendServer& server, HttpExchange& exchange)
{
    constexpr Milliseconds countedTime { 1000 };
    constexpr Milliseconds pollInterval { 2 };
    const TimePoint now = RuntimeClock::now();
    const auto admitted = server.admitted;
    std::vector<HttpField> fields = fieldsOf(server, exchange.request());
    if (*admitted >= room->slots + room->waiting) {
        std::erase_if(server.turnedAwayAt, [&](TimePoint time) { return time + countedTime <= now; });
        server.turnedAwayAt.push_back(now);
        if (server.isUp && server.turnedAwayAt.size() > static_cast<std::size_t>(room->brittleLimit)) {
            ++falls;
            co_return endServer(server);
        }
        fields.push_back({ std::string(Names::notRunField), "full" });
        co_return co_await exchange.respond(503, "text/plain", "", fields);
    }
    const std::shared_ptr<void> place(nullptr, [admitted](void*) { --*admitted; });
    // Requests that wait run in the order in which places get free.
    ++*admitted;
    const auto running = server.running;
    while (*running >= room->slots)
        co_await sleepFor(m_context.get_executor(), pollInterval);
    const std::shared_ptr<void> slot(nullptr, [running](void*) { --*running; });
    ++*running;
    runs.push_back({ server.pool, server.id, RuntimeClock::now(), exchange.request().body, false });
    co_await sleepFor(m_context.get_executor(), runTime);
    co_await exchange.respond(200, "text/plain", "done", std::move(fields));
}

Asio::awaitable<void> GatewayCluster::endWhileResponding(
    BackendServer& server, HttpExchange& exchange, FatalMoment moment)
{
    if (moment != FatalMoment::BeforeHead)
        co_await exchange.beginStream(200, "text/event-stream", fieldsOf(server, exchange.request()));
    if (moment == FatalMoment::AfterEvent)
        co_await exchange.writeChunk(firstEvent);
    if (moment == FatalMoment::InsideEvent)
        co_await exchange.writeChunk(std::string(firstEvent) + "id: 2\nda");
    co_await sleepFor(m_context.get_executor(), runTime);
    runs.push_back({ server.pool, server.id, RuntimeClock::now(), exchange.request().body, true });
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
    co_await exchange.respond(200, "application/json", body, fieldsOf(server, exchange.request()));
}

void GatewayCluster::endServer(const std::string& pool, std::size_t position)
{
    BackendServer& server = serverAt(pool, position);
    if (server.isUp)
        endServer(server);
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
