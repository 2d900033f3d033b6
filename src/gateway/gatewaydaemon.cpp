#include "gateway/gatewaydaemon.h"

#include "libnet/asyncevent.h"
#include "libnet/daemon.h"
#include "libnet/log.h"
#include "libnet/machinelimits.h"
#include "platform/rollouttranslation.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <csignal>
#include <utility>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Timeout of a store call, beyond the wait that a watch requests. A slow store takes several hundred
    // milliseconds to respond.
    constexpr Milliseconds storeTimeout { 900 };

    // The store removes a server after this number of heartbeats without a report.
    constexpr int missedHeartbeats = 3;
    constexpr Milliseconds storeDelayMargin { 1400 };

    Endpoint requireEndpoint(const std::string& text)
    {
        const std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint)
            throw std::invalid_argument("expected an address and a port, got: " + text);
        return *endpoint;
    }

    Milliseconds toMilliseconds(double seconds)
    {
        constexpr double millisecondsPerSecond = 1000;
        return Milliseconds(static_cast<Milliseconds::rep>(seconds * millisecondsPerSecond));
    }

    HttpServerOptions serverOptionsFor(const std::string& text)
    {
        const Endpoint endpoint = requireEndpoint(text);
        return { .address = endpoint.address, .port = endpoint.port };
    }

    HttpServerOptions probeServerOptionsFor(const std::string& text)
    {
        constexpr std::size_t maxProbeBodyBytes = 1024;
        constexpr std::size_t maxProbeConnections = 64;
        HttpServerOptions options = serverOptionsFor(text);
        options.bodyLimitBytes = maxProbeBodyBytes;
        options.maxConnections = maxProbeConnections;
        return options;
    }

    PlatformClientOptions storeOptionsFor(const std::string& text)
    {
        const Endpoint endpoint = requireEndpoint(text);
        return { .address = endpoint.address, .port = endpoint.port, .timeout = storeTimeout };
    }

}

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, std::string settingsFile)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_retries(RetryWindowOptions {}, RuntimeClock::now())
    , m_coldLimiter(ColdLimiterOptions {}, RuntimeClock::now())
    , m_store(m_context, storeOptionsFor(settings.store))
    , m_storeCalls(m_metrics)
    , m_viewUpdater(m_context, m_store, m_view, m_storeCalls, settings.process.host,
          { requireEndpoint(settings.peers), settings.process.failureDomain })
    , m_peers(m_context)
    , m_limits(m_context, m_view, m_peers, settings.process.host, m_metrics)
    , m_statements(m_view, m_limits)
    , m_links(m_context, m_view)
    , m_relays(m_context, m_view, m_peers, settings.process.host, m_metrics)
    , m_calls(m_context, m_links, m_relays)
    , m_serverEnds(m_context, m_view, m_links, m_peers, settings.process.host)
    , m_rolloutObserver(m_view, m_metrics)
    , m_backendCaller(
          m_view, m_tracker, m_limits, m_statements, m_coldLimiter, m_calls, m_serverEnds, m_rolloutObserver,
          m_memory)
    , m_relayServer(m_context, m_backendCaller, m_metrics)
    , m_poisonSync(m_context, m_store, m_storeCalls, m_view, m_poison, settings.process.host)
    , m_crashMonitor(m_context, m_view, m_poison, m_poisonSync, m_serverEnds, m_metrics)
    , m_peerViewSync(m_context, m_viewUpdater, m_view, m_peers, settings.process.host,
          parseEndpoints(settings.seeds).value_or(std::vector<Endpoint>()))
    , m_rolloutSync(m_context, m_view, m_rolloutObserver, m_store, m_storeCalls, m_peers, settings.process.host, m_metrics)
    , m_stageHome(m_context, m_view, m_backendCaller, m_poison)
    , m_stageRouter(m_context, settings.process.host, m_view, m_stageHome, m_peers)
    , m_stageRunner(m_context, m_stageRouter)
    , m_streamOrigins(m_context, m_view, m_peers, settings.process.host, m_metrics)
    , m_plainForwarder(m_view, m_backendCaller, m_retries, m_poison)
    , m_streamForwarder(m_view, m_backendCaller, m_retries, m_stageRunner, m_streamOrigins, m_poison)
    , m_gatewayMetrics(m_metrics)
    , m_requests(m_context, m_view, m_plainForwarder, m_streamForwarder, m_poison, m_gatewayMetrics)
    , m_callerServer(
          m_context,
          [this] {
              HttpServerOptions options = serverOptionsFor(m_settings.callers);
              options.limits = [this] { return m_requests.limits(); };
              options.memory = &m_memory;
              options.onLimitMet = [this](std::string_view limit) { logLimitMet(limit); };
              return options;
          }(),
          [this](HttpExchange& exchange) { return m_requests.serve(exchange); })
    , m_readinessServer(m_context, probeServerOptionsFor(settings.readiness),
          [this](HttpExchange& exchange) { return respondToReadinessProbe(exchange); })
    , m_peerServer(m_context,
          { requireEndpoint(settings.peers).address, requireEndpoint(settings.peers).port },
          [this](std::shared_ptr<PeerStream> stream) { return servePeer(std::move(stream)); })
    , m_adminServer(m_context, m_metrics,
          { .address = requireEndpoint(settings.admin).address,
              .port = requireEndpoint(settings.admin).port,
              .state = [this] { return state(); },
              .health = [this] { return health(); },
              .refreshMetrics =
                  [this] {
                      m_gatewayMetrics.setGauges(
                          m_view, m_stageHome, m_retries, m_poison, m_viewUpdater.isStoreLost());
                      m_gatewayMetrics.setLimitedServers(m_limits.limitedServers());
                      m_gatewayMetrics.setLostLinks(m_links.lostLinks());
                      m_gatewayMetrics.setBrittleServers(m_statements.brittleServers());
                      m_gatewayMetrics.setRestingServers(m_statements.restingServers());
                      m_gatewayMetrics.setClients(m_memory, m_callerServer.counts());
                  } })
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context, SIGHUP)
{
    applyLimits();
    m_viewUpdater.setChangeHandler([this] { onViewChanged(); });
    m_viewUpdater.setConfirmedHandler([this] { m_peerViewSync.onConfirmed(); });
    m_viewUpdater.setPoisonHandlers([this](const PlatformList& list) { m_poisonSync.applyList(list); },
        [this](const PlatformEvent& event) { m_poisonSync.applyEvent(event); });
    if (m_rolloutObserver.isEnabled())
        followRollouts();
    m_backendCaller.setRunObserver(m_crashMonitor);
    m_requests.setProbationHandler(
        [this](const std::vector<PoisonSubject>& refused) { return m_poisonSync.tryStartProbation(refused); });
    m_links.setChangeHandler([this] { m_stageHome.onLinksChanged(); });
    m_poisonSync.setChangeHandler([this] { m_stageHome.onPoisonChanged(); });
}

void GatewayDaemon::run()
{
    start();
    m_context.run();
}

void GatewayDaemon::start()
{
    writeLog(LogLevel::Info, "started",
        { { "callers", m_settings.callers }, { "peers", m_settings.peers },
            { "store", m_settings.store }, { "version", APRICOT_VERSION },
            { "memory_bytes", m_machine.memoryBytes }, { "descriptors", m_machine.descriptors } });
    m_viewUpdater.start();
    m_peerViewSync.start();
    m_poisonSync.start();
    m_rolloutSync.start();
    Asio::co_spawn(m_context, waitForStop(), Asio::detached);
    Asio::co_spawn(m_context, waitForReload(), Asio::detached);
}

void GatewayDaemon::onViewChanged()
{
    if (m_view.hostsGeneration() != std::exchange(m_hostsGeneration, m_view.hostsGeneration()))
        onHostsChanged();
    if (m_view.servers().removals() != std::exchange(m_serverRemovals, m_view.servers().removals())) {
        m_limits.onServersRemoved();
        m_backendCaller.removeUnknownServers();
    }
    m_crashMonitor.onServersChanged();
    m_rolloutObserver.refresh();
    // The largest legal body may have changed.
    applyMachineLimits();
}

void GatewayDaemon::logLimitMet(std::string_view limit)
{
    constexpr Milliseconds logInterval { 1000 };
    const TimePoint now = RuntimeClock::now();
    auto& [loggedAt, count] = m_limitsMet[std::string(limit)];
    ++count;
    if (now < loggedAt + logInterval)
        return;
    writeLog(LogLevel::Warning, "client_limits_met",
        { { "limit", limit }, { "count", std::exchange(count, 0) }, { "held_bytes", m_memory.heldBytes() },
            { "limit_bytes", m_memory.totalBytes() }, { "connections", m_callerServer.counts().connections } });
    loggedAt = now;
}

void GatewayDaemon::applyMachineLimits()
{
    const ClientLimits limits = clientLimits(m_machine, m_requests.limits().bodyBytes);
    m_memory.setTotalBytes(limits.memoryBytes);
    m_callerServer.setMaxConnections(limits.connections);
}

void GatewayDaemon::applyRollout(const PlatformObject& object)
{
    if (const auto rollout = Platform::readRollout(object))
        m_rolloutObserver.apply(*rollout);
    else
        writeLog(LogLevel::Warning, "rollout_order_ignored", { { "key", object.key }, { "revision", object.version } });
}

void GatewayDaemon::followRollouts()
{
    m_viewUpdater.followRollouts(
        [this](const PlatformList& list) {
            std::set<PoolId> removed;
            for (const auto& [pool, known] : m_rolloutObserver.routing().known())
                removed.insert(pool);
            for (const PlatformObject& object : list.objects) {
                removed.erase(Platform::poolOfRollout(object.key));
                applyRollout(object);
            }
            for (const PoolId& pool : removed)
                m_rolloutObserver.remove(pool);
        },
        [this](const PlatformEvent& event) {
            if (event.value)
                applyRollout({ event.key, event.version, *event.value, event.status });
            else
                m_rolloutObserver.remove(Platform::poolOfRollout(event.key));
        });
}

void GatewayDaemon::onHostsChanged()
{
    m_retries.setHosts(m_view.hostIds(), RuntimeClock::now());
    m_coldLimiter.setHosts(m_settings.process.host, m_view.hostIds(), RuntimeClock::now());
    m_limits.onHostsChanged();
    m_peerViewSync.onHostsChanged();
    m_relays.onHostsChanged();
}

HealthReport GatewayDaemon::health() const
{
    if (m_isStopping)
        return { .healthy = false, .detail = "stopping" };
    if (!m_view.config())
        return { .healthy = false, .detail = "no configuration received yet" };
    if (m_view.servers().size() == 0)
        return { .healthy = false, .detail = "no backend servers known" };
    if (!m_viewUpdater.isConfirmed())
        return { .healthy = false, .detail = "the view has not been confirmed since the start" };
    return {};
}

Asio::awaitable<void> GatewayDaemon::respondToReadinessProbe(HttpExchange& exchange)
{
    constexpr int statusOk = 200;
    constexpr int statusUnavailable = 503;
    const HealthReport report = health();
    co_await exchange.respond(
        report.healthy ? statusOk : statusUnavailable, "text/plain", report.detail);
}

Asio::awaitable<void> GatewayDaemon::servePeer(std::shared_ptr<PeerStream> stream)
{
    std::optional<Message> first = co_await stream->read();
    if (!first)
        co_return;
    if (auto* work = std::get_if<StageWorkMessage>(&*first))
        co_await m_stageRouter.serve(std::move(stream), std::move(work->work));
    else if (const auto* request = std::get_if<TextMessage>(&*first))
        co_await respondToPeer(std::move(stream), *request);
    else if (auto* call = std::get_if<RelayCallMessage>(&*first))
        co_await m_relayServer.serve(std::move(stream), std::move(*call));
    else if (const auto* released = std::get_if<ReleaseResultsMessage>(&*first))
        m_stageHome.release(released->pool, released->group, released->handles);
}

Asio::awaitable<void> GatewayDaemon::respondToPeer(
    std::shared_ptr<PeerStream> stream, TextMessage request)
{
    if (request.topic == StreamOriginSync::noticeTopic)
        co_return m_streamOrigins.applyNotice(request.json);
    if (request.topic == LimitPermits::noticeTopic)
        co_return m_limits.applyNotice(request.json);
    std::string text;
    if (request.topic == PeerViewSync::topic)
        text = co_await m_peerViewSync.respondTo(std::move(request.json));
    else if (request.topic == StreamOriginSync::questionTopic)
        text = m_streamOrigins.respondTo(request.json);
    else if (request.topic == LimitPermits::permitTopic)
        text = m_limits.respondTo(request.json);
    else if (request.topic == RolloutSync::topic)
        text = m_rolloutSync.respondTo(request.json);
    else if (request.topic == ServerEndProbe::topic)
        text = co_await m_serverEnds.respondTo(std::move(request.json));
    else
        co_return;
    Message response = TextMessage { request.topic, std::move(text) };
    co_await stream->write(std::move(response));
}

Asio::awaitable<void> GatewayDaemon::waitForReload()
{
    while (true) {
        co_await m_reloadSignals.async_wait(Asio::use_awaitable);
        reload();
    }
}

void GatewayDaemon::reload()
{
    try {
        const auto settings = loadSettingsAs<GatewaySettings>(m_settingsFile);
        // Addresses are bound, and the store is chosen, only at startup.
        const bool needsRestart = settings.callers != m_settings.callers
            || settings.readiness != m_settings.readiness || settings.peers != m_settings.peers
            || settings.store != m_settings.store;
        m_settings = settings;
        applyLimits();
        startDaemonLog(programName, settings.process);
        writeLog(LogLevel::Info, "settings_reloaded", { { "needs_restart", needsRestart } });
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, "settings_reload_failed", { { "reason", error.what() } });
    }
}

void GatewayDaemon::applyLimits()
{
    m_retries.setOptions({ .ratio = m_settings.retryRatio,
        .slack = m_settings.retrySlack,
        .window = toMilliseconds(m_settings.retryWindowSeconds),
        .leavingTime = toMilliseconds(m_settings.graceSeconds) });
    m_viewUpdater.setSettleTime(
        missedHeartbeats * toMilliseconds(m_settings.serverHeartbeatSeconds) + storeDelayMargin);
    m_machine = machineLimits(m_settings.memoryMegabytes, m_settings.maxDescriptors);
    applyMachineLimits();
    m_rolloutObserver.routing().setOptions({ .exposureShare = m_settings.rolloutShare });
    m_coldLimiter.setOptions({ .overshoot = m_settings.coldOvershoot,
        .tolerance = m_settings.coldTolerance,
        .leavingTime = toMilliseconds(m_settings.graceSeconds) });
}

boost::json::value GatewayDaemon::state() const
{
    const auto config = m_view.config();
    return boost::json::object { { "config_version", config ? config->version : 0 },
        { "config_revision", m_view.configRevision() },
        { "servers", m_view.servers().size() }, { "hosts", m_view.hosts().size() },
        { "waiting_pieces", m_stageHome.waitingPieces() }, { "stream_origins", m_streamOrigins.size() },
        { "poisoned_requests", m_poison.count(PoisonState::Refused, false, RuntimeClock::now()) },
        { "poisoned_parts", m_poison.count(PoisonState::Refused, true, RuntimeClock::now()) },
        { "limited_servers", m_limits.limitedServers() }, { "lost_links", m_links.lostLinks() },
        { "cut_off", m_links.isCutOff() }, { "stopping", m_isStopping } };
}

}
