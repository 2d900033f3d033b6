#include "entry/entryservice.h"
#include "libapricot/entrysettings.h"
#include "libapricot/metrics.h"
#include "libapricot/portfile.h"
#include "libnet/adminserver.h"
#include "libnet/asyncevent.h"
#include "libnet/controlfollower.h"
#include "libnet/daemon.h"
#include "libnet/log.h"
#include "libnet/machinelimits.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/json/value.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    const std::string programName = "apricot-entry";
    const std::string usageText = "Serves callers of apricotpier over HTTP.\n\n"
                                  "  apricot-entry --config=entry.ini\n"
                                  "  apricot-entry --config=entry.ini --check";
    // Time for the load balancer to see the failing health check before the listener closes.
    constexpr Milliseconds balancerDelay { 1000 };
    constexpr Milliseconds drainPollInterval { 20 };

    // One entry daemon with its servers.
    class EntryDaemon {
    public:
        explicit EntryDaemon(const EntrySettings& settings)
            : m_limits(clientLimits(machineLimits(0, 0), settings.bodyLimitBytes))
            , m_memory({ .totalBytes = m_limits.memoryBytes })
            , m_peers(m_daemon.traffic())
            , m_follower(m_daemon.control(),
                  { .host = settings.process.host,
                      .failureDomain = settings.process.failureDomain,
                      .dispatch = { settings.dispatch.address, settings.dispatch.port } })
            , m_service(m_daemon.traffic(), m_follower, m_peers, m_metrics)
            , m_http(m_daemon.traffic(),
                  { .address = settings.http.address,
                      .port = settings.http.port,
                      .bodyLimitBytes = settings.bodyLimitBytes,
                      .memory = &m_memory,
                      .maxConnections = m_limits.connections },
                  [this](HttpExchange& exchange) { return m_service.serve(exchange); })
            , m_admin(m_daemon.control(), m_metrics, makeAdminOptions(settings))
        {
            if (!settings.process.portFile.empty())
                writePortFile(settings.process.portFile,
                    { { "http", m_http.port() }, { "control", m_admin.port() } });
        }

        void run()
        {
            m_follower.start();
            m_daemon.run([this] { return shutDown(); },
                [this] { return std::to_string(m_http.exchangesInFlight()) + " requests"; });
        }

    private:
        AdminServerOptions makeAdminOptions(const EntrySettings& settings)
        {
            return {
                .address = settings.control.address,
                .port = settings.control.port,
                .state = [this] { return m_service.dump(); },
                .health = [this]() -> HealthReport {
                    return { .healthy = m_service.isReady(), .detail = {} };
                },
                .refreshMetrics = [this] { m_service.writeMetrics(m_metrics); },
            };
        }

        // Fails the health check, closes the listener, and waits until every request in flight has
        // finished.
        Asio::awaitable<void> shutDown()
        {
            m_service.beginShutdown();
            co_await sleepFor(m_daemon.control().get_executor(), balancerDelay);
            Asio::post(m_daemon.traffic(), [this] { m_http.stopAfterPendingRequests(); });
            do
                co_await sleepFor(m_daemon.control().get_executor(), drainPollInterval);
            while (m_http.exchangesInFlight() > 0);
            writeLog(LogLevel::Info, "shutdown_finished");
            m_daemon.stop();
        }

        ClientLimits m_limits;
        // Outlives the connections that the event loop of the daemon destroys.
        MemoryAccount m_memory;
        Daemon m_daemon;
        MetricRegistry m_metrics;
        PeerClient m_peers;
        ControlFollower m_follower;
        EntryService m_service;
        HttpServer m_http;
        AdminServer m_admin;
    };

}

}

int main(int argc, char** argv)
{
    using namespace Apricot;
    returnLargeBlocks();
    return runDaemon<EntrySettings>(
        argc, argv, programName, usageText, [](const EntrySettings& settings) {
            EntryDaemon daemon(settings);
            daemon.run();
            return exitOk;
        });
}
