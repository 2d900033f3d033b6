#include "dispatch/dispatchdaemon.h"

#include "libapricot/dispatchmetrics.h"
#include "libapricot/portfile.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "libnet/requestkey.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <future>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr Milliseconds maintenanceInterval { 1000 };
    // Maximum wait for the cell to remove a member that has stopped.
    constexpr Milliseconds leaveTimeout { 5000 };

    ControlPlaneOptions makeControlPlaneOptions(
        const DispatchSettings& settings, std::uint16_t peerPort, HomeReporter reporter)
    {
        ControlPlaneOptions options;
        options.host = settings.process.host;
        options.failureDomain = settings.process.failureDomain;
        options.cell = settings.membership.cell;
        options.endpoint = { settings.peer.address, peerPort };
        options.platform = { settings.platform.address, settings.platform.port };
        options.membership.evidence.evidenceLease = settings.membership.evidence;
        options.membership.renewInterval = settings.membership.renewal;
        options.membership.removalTime = settings.membership.removal;
        options.homeReporter = std::move(reporter);
        return options;
    }

}

DispatchDaemon::DispatchDaemon(const DispatchSettings& settings)
    : m_settings(settings)
    , m_server(m_daemon.traffic(),
          { .address = settings.peer.address, .port = settings.peer.port },
          [this](std::shared_ptr<PeerStream> stream) {
              return m_dispatcher.serve(std::move(stream));
          })
    , m_controlPlane(m_daemon.control(),
          makeControlPlaneOptions(settings, m_server.port(), [this] { return fetchHomeReport(); }))
    , m_peers(m_daemon.traffic())
    , m_link(m_peers)
    , m_platform(m_daemon.traffic(),
          { .address = settings.platform.address,
              .port = settings.platform.port,
              .host = settings.process.host })
    , m_claimStore(m_platform)
    , m_router({ .policy = routingPolicyNamed(settings.load.routing) })
    , m_limits(m_daemon.traffic(), m_controlPlane,
          { .shares = { .evidence = settings.membership.evidence } })
    , m_load(m_router, m_limits, { .enabled = settings.load.admission })
    , m_records({ .host = settings.process.host,
          .incarnation = m_controlPlane.view()->incarnation,
          .retention = settings.records.retention })
    , m_recordService(m_controlPlane, m_link, m_records)
    , m_claims(m_daemon.traffic(), m_controlPlane, m_link, m_claimStore)
    , m_coordinator(makeRunnerServices())
    , m_homes(m_daemon.traffic(), m_controlPlane,
          { .takeover = { .evidenceTime = settings.membership.evidence,
                .drainTime = settings.membership.drain } })
    , m_dispatcher({ m_daemon.control(), m_controlPlane, m_coordinator, m_homes, m_recordService,
          m_claims, m_limits })
    , m_admin(m_daemon.control(), m_metrics, makeAdminOptions())
{
    if (!settings.process.portFile.empty())
        writePortFile(settings.process.portFile,
            { { "peer", m_server.port() }, { "control", m_admin.port() } });
}

RunnerServices DispatchDaemon::makeRunnerServices()
{
    return {
        .context = m_daemon.traffic(),
        .views = m_controlPlane,
        .peers = m_link,
        .router = m_router,
        .records = m_records,
        .recordService = m_recordService,
        .claims = m_claims,
        .retries = m_retries,
        .poison = m_poison,
        .unresponsiveHomes = m_unresponsiveHomes,
        .load = &m_load,
    };
}

AdminServerOptions DispatchDaemon::makeAdminOptions()
{
    return {
        .address = m_settings.control.address,
        .port = m_settings.control.port,
        .state = [this] { return dump(); },
        .health = [this]() -> HealthReport {
            const auto view = m_controlPlane.view();
            const bool isPermitted = view && view->permits(RuntimeClock::now());
            return { .healthy = isPermitted && !view->stopping,
                .detail = isPermitted ? "" : "no evidence of the newest epoch" };
        },
        .refreshMetrics = [this] { setDispatchMetrics(m_metrics, dump()); },
    };
}

// Called on the control thread. The report is made on the traffic thread, where all calls are checked
// and sent.
Asio::awaitable<HomeReport> DispatchDaemon::fetchHomeReport()
{
    co_return co_await Asio::co_spawn(m_daemon.traffic(), makeHomeReport(), Asio::use_awaitable);
}

Asio::awaitable<HomeReport> DispatchDaemon::makeHomeReport()
{
    HomeReport report;
    report.appliedEpoch = m_homes.appliedEpoch();
    report.busyServers = m_homes.busyServers();
    co_return report;
}

void DispatchDaemon::run()
{
    m_controlPlane.start();
    Asio::post(m_daemon.traffic(), [this] {
        m_homes.start();
        m_limits.start();
    });
    Asio::co_spawn(m_daemon.traffic(), maintain(), Asio::detached);
    m_daemon.run([this] { return shutDown(); },
        [this] { return std::to_string(m_server.streamsInFlight()) + " peer streams"; });
}

Asio::awaitable<void> DispatchDaemon::maintain()
{
    while (true) {
        m_coordinator.maintain();
        co_await sleepFor(m_daemon.traffic().get_executor(), maintenanceInterval);
    }
}

Asio::awaitable<void> DispatchDaemon::shutDown()
{
    m_controlPlane.beginLeaving();
    co_await Asio::co_spawn(m_daemon.traffic(), drainTraffic(), Asio::use_awaitable);
    co_await m_controlPlane.finishLeaving(leaveTimeout);
    writeLog(LogLevel::Info, "shutdown_finished");
    m_daemon.stop();
}

Asio::awaitable<void> DispatchDaemon::drainTraffic()
{
    co_await m_coordinator.drain();
    m_limits.stop();
    co_await m_homes.drain();
}

boost::json::value DispatchDaemon::dump()
{
    boost::json::object state { { "control", m_controlPlane.dump() } };
    std::promise<void> done;
    Asio::post(m_daemon.traffic(), [&] {
        state["coordinator"] = m_coordinator.dump();
        state["homes"] = m_homes.dump();
        state["claims"] = m_claims.dump();
        state["load"] = m_load.dump(RuntimeClock::now());
        done.set_value();
    });
    done.get_future().wait();
    return state;
}

}
