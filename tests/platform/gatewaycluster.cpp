#include "gatewaycluster.h"

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

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <sstream>
#include <thread>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;
namespace json = boost::json;

namespace {

// Processes use their share of the slack a window after their start.
constexpr double shortRetryWindowSeconds = 0.5;
constexpr std::size_t maxKeyBytes = 200;
// More than the time of a call to the store.
constexpr Milliseconds storeCallTime { 20 };

}

struct GatewayCluster::Host {
    std::uint16_t callers = findFreePort();
    std::uint16_t readiness = findFreePort();
    std::uint16_t peers = findFreePort();
    std::uint16_t admin = findFreePort();
    std::unique_ptr<HostLinks> links;
    std::unique_ptr<GatewayDaemon> daemon;
    bool isSuspended = false;
};

GatewayCluster::GatewayCluster(std::size_t hosts, ClusterRetries retries, double rolloutShare)
    : m_retries(retries)
    , m_rolloutShare(rolloutShare)
{
    const json::value config = json::parse(clusterConfig);
    Asio::co_spawn(m_context, writeEntry(std::string(Names::configurationKey), config), Asio::detached);
    for (std::size_t host = 0; host < hosts; ++host)
        m_hosts.push_back(std::make_unique<Host>(Host { .links = std::make_unique<HostLinks>(m_context) }));
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
    settings.rolloutShare = m_rolloutShare;
    settings.process.host = HostId("host-" + std::to_string(host));
    settings.process.failureDomain = FailureDomainId("zone-" + std::to_string(host % 3));
    return settings;
}

void GatewayCluster::restartHost(std::size_t host)
{
    killHost(host);
    m_hosts.at(host)->daemon = std::make_unique<GatewayDaemon>(settingsFor(host), "");
    m_hosts.at(host)->daemon->links().setTranslation([this, host](const Endpoint& server) {
        return m_hosts.at(host)->links->translate(server, forwardsLinks && isServerUp(server.port));
    });
    m_hosts.at(host)->daemon->start();
}

void GatewayCluster::killHost(std::size_t host)
{
    m_hosts.at(host)->daemon.reset();
}

void GatewayCluster::cutLinks(std::size_t host, LinkFault fault, const std::string& pool)
{
    m_hosts.at(host)->links->setFault(fault, [this, pool](std::uint16_t port) {
        return pool.empty()
            || std::any_of(m_servers.begin(), m_servers.end(),
                [&](const auto& server) { return server->port == port && server->pool == pool; });
    });
}

void GatewayCluster::setSuspended(std::size_t host, bool isSuspended)
{
    m_hosts.at(host)->isSuspended = isSuspended;
}

std::size_t GatewayCluster::connectionsFrom(std::size_t host) const
{
    return m_hosts.at(host)->links->connections();
}

bool GatewayCluster::isServerUp(std::uint16_t port) const
{
    return std::none_of(m_servers.begin(), m_servers.end(),
        [port](const auto& server) { return server->port == port && !server->isUp; });
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
    HttpCall call { .method = "POST",
        .target = request.path,
        .fields = request.fields,
        .body = request.content,
        .timeout = request.patience };
    const std::vector<HttpField> fields { { "Host", "h" }, { std::string(Names::requestIdField), id },
        { std::string(Names::deadlineField), "6000" }, { std::string(Names::pieceCountsField), "1" },
        { std::string(Names::pieceKeyField), request.content.substr(0, maxKeyBytes) } };
    call.fields.insert(call.fields.end(), fields.begin(), fields.end());
    responses.push_back({ .content = request.content, .id = id, .sentAt = RuntimeClock::now() });
    Asio::co_spawn(m_context,
        callHost(m_hosts.at(host)->callers, std::move(call), responses.size() - 1), Asio::detached);
    return responses.size() - 1;
}

Asio::awaitable<void> GatewayCluster::callHost(std::uint16_t port, HttpCall call, std::size_t index)
{
    HttpClient client(m_context, { .port = port });
    try {
        const std::unique_ptr<HttpStream> stream = co_await client.open(std::move(call));
        responses[index].status = stream->status();
        responses[index].retryAfter = stream->field(Names::retryAfterField);
        while (const std::optional<std::string> data = co_await stream->read())
            responses[index].body += *data;
        responses[index].isComplete = true;
    } catch (const boost::system::system_error&) {
        // The response stays incomplete.
    }
    responses[index].hasEnded = true;
}

void GatewayCluster::writeObject(const std::string& key, json::value value)
{
    Asio::co_spawn(m_context, writeEntry(key, std::move(value)), Asio::detached);
    runFor(storeCallTime);
}

bool GatewayCluster::tryWriteObject(const std::string& key, json::value value)
{
    const auto isWritten = std::make_shared<bool>(false);
    Asio::co_spawn(
        m_context,
        [this, isWritten, key, value = std::move(value)]() mutable -> Asio::awaitable<void> {
            const WriteResult result = co_await m_store.put(key, std::move(value), std::nullopt);
            *isWritten = std::holds_alternative<WriteStored>(result);
        },
        Asio::detached);
    runFor(storeCallTime);
    return *isWritten;
}

void GatewayCluster::removeObject(const std::string& key)
{
    Asio::co_spawn(m_context, removeEntry(key, Milliseconds(0)), Asio::detached);
    runFor(storeCallTime);
}

void GatewayCluster::sendToPeer(std::size_t host, Message message)
{
    Asio::co_spawn(
        m_context,
        [this, port = m_hosts.at(host)->peers, message = std::move(message)]() mutable -> Asio::awaitable<void> {
            Endpoint endpoint { "127.0.0.1", port };
            co_await m_peers.notify(std::move(endpoint), std::move(message), Milliseconds(500));
        },
        Asio::detached);
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
    runFor(storeCallTime);
}

std::string GatewayCluster::metricsOf(std::size_t host)
{
    return textAt(m_hosts.at(host)->admin, "/metrics");
}

std::size_t GatewayCluster::storeCalls(const std::string& kind)
{
    const json::value counts = json::parse(textAt(m_platform.port(), "/counts"));
    const json::value* count = counts.as_object().if_contains(kind);
    return count ? count->to_number<std::size_t>() : 0;
}

json::value GatewayCluster::statusOf(const std::string& key)
{
    return json::parse(textAt(m_platform.port(), "/-/objects/" + key)).at("status");
}

HttpResponse GatewayCluster::responseAt(std::uint16_t port, const std::string& target)
{
    HttpResponse response;
    bool isDone = false;
    Asio::co_spawn(
        m_context,
        [&]() -> Asio::awaitable<void> {
            HttpClient client(m_context, { .port = port });
            HttpCall call { .target = target };
            response = co_await client.send(std::move(call));
            isDone = true;
        },
        Asio::detached);
    runUntil([&] { return isDone; }, Milliseconds(2000));
    return response;
}

std::string GatewayCluster::textAt(std::uint16_t port, const std::string& target)
{
    return responseAt(port, target).body;
}

bool GatewayCluster::isReady(std::size_t host)
{
    return responseAt(m_hosts.at(host)->readiness, std::string(Names::readinessPath)).status == 200;
}

std::optional<double> GatewayCluster::metricOf(std::size_t host, const std::string& name)
{
    std::istringstream lines(metricsOf(host));
    std::optional<double> sum;
    for (std::string line; std::getline(lines, line);) {
        if (line.compare(0, name.size() + 1, name + " ") == 0 || line.compare(0, name.size() + 1, name + "{") == 0)
            sum = sum.value_or(0) + std::stod(line.substr(line.rfind(' ')));
    }
    return sum;
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
            if (!host->daemon || host->isSuspended)
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

std::size_t GatewayCluster::runsAt(const std::string& server, TimePoint from) const
{
    return static_cast<std::size_t>(std::count_if(runs.begin(), runs.end(),
        [&](const ScriptedRun& run) { return run.server == server && run.startedAt >= from; }));
}

std::size_t GatewayCluster::mostRunsWithin(
    Milliseconds window, const std::string& server, TimePoint from) const
{
    std::vector<TimePoint> times;
    for (const ScriptedRun& run : runs) {
        if (run.server == server && run.startedAt >= from)
            times.push_back(run.startedAt);
    }
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end = std::lower_bound(first, times.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

std::size_t GatewayCluster::countResponses(const std::string& word, int status) const
{
    return static_cast<std::size_t>(
        std::count_if(responses.begin(), responses.end(), [&](const ClusterResponse& response) {
            return response.isComplete && response.status == status
                && response.content.find(word) != std::string::npos;
        }));
}
