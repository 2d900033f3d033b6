#include "gateway/gatewaydaemon.h"

#include "libnet/asyncevent.h"
#include "libnet/daemon.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <csignal>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Idle connections stay open so long after the signal to stop, for the balancer to see that this
    // host takes no more.
    constexpr Milliseconds balancerNotice { 2500 };
    // Kept back from the time to stop, so that the process ends before it is killed.
    constexpr Milliseconds stopMargin { 600 };
    // What no server has got by so long before the end is refused, so that its caller gets an answer.
    constexpr Milliseconds refusalNotice { 400 };
    constexpr Milliseconds drainPoll { 50 };
    // Longest wait for an answer of the store beyond what a watch was asked to wait; a slow store takes
    // some hundred milliseconds.
    constexpr Milliseconds storeTimeout { 900 };

    Endpoint endpointOf(const std::string& text)
    {
        const std::optional<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint)
            throw std::invalid_argument("no endpoint: " + text);
        return *endpoint;
    }

    Milliseconds toMilliseconds(double seconds)
    {
        constexpr double perSecond = 1000;
        return Milliseconds(static_cast<Milliseconds::rep>(seconds * perSecond));
    }

    HttpServerOptions listenAt(const std::string& text)
    {
        const Endpoint endpoint = endpointOf(text);
        return { .address = endpoint.address, .port = endpoint.port };
    }

    PlatformClientOptions storeAt(const std::string& text)
    {
        const Endpoint endpoint = endpointOf(text);
        return { .address = endpoint.address, .port = endpoint.port, .timeout = storeTimeout };
    }

}

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, std::string settingsFile)
    : m_settings(settings)
    , m_settingsFile(std::move(settingsFile))
    , m_store(m_context, storeAt(settings.store))
    , m_belief(m_context, m_store, m_view, settings.process.host,
          { endpointOf(settings.peers), settings.process.failureDomain })
    , m_caller(m_context, m_view, m_tracker)
    , m_peers(m_context)
    , m_relay(m_context, m_belief, m_view, m_peers, settings.process.host,
          parseEndpoints(settings.seeds).value_or(std::vector<Endpoint>()))
    , m_stageHome(m_context, m_view, m_caller)
    , m_stageRouter(m_context, settings.process.host, m_view, m_stageHome, m_peers)
    , m_stageRunner(m_context, m_stageRouter)
    , m_plain(m_view, m_caller, m_retries)
    , m_streams(m_view, m_caller, m_retries, m_coldLimiter, m_stageRunner)
    , m_gatewayMetrics(m_metrics)
    , m_requests(m_context, m_view, m_plain, m_streams, m_gatewayMetrics)
    , m_callers(
          m_context,
          [this] {
              HttpServerOptions options = listenAt(m_settings.callers);
              options.limits = [this] { return m_requests.limits(); };
              return options;
          }(),
          [this](HttpExchange& exchange) { return m_requests.serve(exchange); })
    , m_readiness(m_context, listenAt(settings.readiness),
          [this](HttpExchange& exchange) { return answerReadiness(exchange); })
    , m_peerServer(m_context,
          { endpointOf(settings.peers).address, endpointOf(settings.peers).port },
          [this](std::shared_ptr<PeerStream> stream) { return servePeer(std::move(stream)); })
    , m_admin(m_context, m_metrics,
          { .address = endpointOf(settings.admin).address,
              .port = endpointOf(settings.admin).port,
              .state = [this] { return state(); },
              .health = [this] { return health(); },
              .refreshMetrics =
                  [this] {
                      m_gatewayMetrics.setLevels(m_view, m_stageHome, m_belief.isStoreLost());
                  } })
    , m_stopSignals(m_context, SIGTERM, SIGINT)
    , m_reloadSignals(m_context, SIGHUP)
{
    applyBounds();
    m_belief.setChangeHandler([this] { viewChanged(); });
}

void GatewayDaemon::run()
{
    writeLog(LogLevel::Info, "started",
        { { "callers", m_settings.callers }, { "peers", m_settings.peers },
            { "store", m_settings.store }, { "version", APRICOT_VERSION } });
    m_belief.start();
    m_relay.start();
    Asio::co_spawn(m_context, waitForStop(), Asio::detached);
    Asio::co_spawn(m_context, waitForReload(), Asio::detached);
    m_context.run();
}

void GatewayDaemon::viewChanged()
{
    m_retries.setHosts(m_view.hosts().size());
    m_coldLimiter.setHosts(m_settings.process.host, m_view.hostIds());
    m_relay.hostsChanged();
    m_caller.forgetGone();
}

HealthReport GatewayDaemon::health() const
{
    if (m_isStopping)
        return { .healthy = false, .detail = "stopping" };
    if (!m_view.config())
        return { .healthy = false, .detail = "no configuration yet" };
    if (m_view.servers().size() == 0)
        return { .healthy = false, .detail = "no backend servers known" };
    return {};
}

Asio::awaitable<void> GatewayDaemon::answerReadiness(HttpExchange& exchange)
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
    else if (const auto* question = std::get_if<TextMessage>(&*first))
        co_await answerPeer(std::move(stream), *question);
    else if (const auto* released = std::get_if<ReleaseResultsMessage>(&*first))
        m_stageHome.release(released->pool, released->group, released->handles);
}

Asio::awaitable<void> GatewayDaemon::answerPeer(
    std::shared_ptr<PeerStream> stream, TextMessage question)
{
    if (question.topic != ViewRelay::topic)
        co_return;
    Message answer = TextMessage { question.topic, m_relay.answer(question.json) };
    co_await stream->write(std::move(answer));
}

Asio::awaitable<void> GatewayDaemon::waitForStop()
{
    co_await m_stopSignals.async_wait(Asio::use_awaitable);
    co_await shutDown();
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
        // Where the process listens is fixed at its start.
        const bool needsRestart = settings.callers != m_settings.callers
            || settings.readiness != m_settings.readiness || settings.peers != m_settings.peers
            || settings.store != m_settings.store;
        m_settings = settings;
        applyBounds();
        startDaemonLog(programName, settings.process);
        writeLog(LogLevel::Info, "settings_reloaded", { { "needs_restart", needsRestart } });
    } catch (const std::exception& error) {
        writeLog(LogLevel::Error, "settings_reload_failed", { { "reason", error.what() } });
    }
}

void GatewayDaemon::applyBounds()
{
    m_retries.setOptions({ .ratio = m_settings.retryRatio,
        .slack = m_settings.retrySlack,
        .window = toMilliseconds(m_settings.retryWindowSeconds) });
    m_coldLimiter.setOptions(
        { .overshoot = m_settings.coldOvershoot, .tolerance = m_settings.coldTolerance });
}

Asio::awaitable<void> GatewayDaemon::shutDown()
{
    writeLog(LogLevel::Info, "shutdown_started");
    m_isStopping = true;
    const TimePoint startedAt = RuntimeClock::now();
    const TimePoint endsAt = startedAt + toMilliseconds(m_settings.graceSeconds) - stopMargin;
    m_callers.closeAfterResponses();
    co_await m_belief.deregister();
    m_stageHome.stop();
    const auto executor = m_context.get_executor();
    while (RuntimeClock::now() < startedAt + balancerNotice)
        co_await sleepFor(executor, drainPoll);
    m_callers.stopAccepting();
    while (RuntimeClock::now() < endsAt
        && (m_callers.exchangesInFlight() > 0 || m_peerServer.streamsInFlight() > 0)) {
        if (RuntimeClock::now() >= endsAt - refusalNotice)
            m_requests.endWaiting();
        co_await sleepFor(executor, drainPoll);
    }
    writeLog(LogLevel::Info, "shutdown_finished",
        { { "requests_cut", m_callers.exchangesInFlight() } });
    m_context.stop();
}

boost::json::value GatewayDaemon::state() const
{
    const auto config = m_view.config();
    return boost::json::object { { "config_version", config ? config->version : 0 },
        { "config_revision", m_view.configRevision() },
        { "servers", m_view.servers().size() }, { "hosts", m_view.hosts().size() },
        { "waiting_pieces", m_stageHome.waitingPieces() }, { "stopping", m_isStopping } };
}

}
