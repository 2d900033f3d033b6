#pragma once

#include "dispatch/dispatcher.h"
#include "dispatch/loadcontrol.h"
#include "dispatch/platformclaimstore.h"
#include "libapricot/dispatchsettings.h"
#include "libapricot/metrics.h"
#include "libnet/adminserver.h"
#include "libnet/daemon.h"

namespace Apricot {

// One dispatch daemon: the control plane on the control thread, and coordinator, homes, records and
// claims on the traffic thread.
class DispatchDaemon {
public:
    explicit DispatchDaemon(const DispatchSettings& settings);

    // Runs until a graceful shutdown has ended.
    void run();

private:
    AdminServerOptions makeAdminOptions();
    RunnerServices makeRunnerServices();
    // Epoch applied by the homes and the servers with calls in flight, read on the traffic thread.
    boost::asio::awaitable<HomeReport> fetchHomeReport();
    boost::asio::awaitable<HomeReport> makeHomeReport();
    // Calls the coordinator's maintain() once a second.
    boost::asio::awaitable<void> maintain();
    boost::asio::awaitable<void> shutDown();
    // Waits until no request is in flight, then until the replicas are handed over and their last
    // calls have ended.
    boost::asio::awaitable<void> drainTraffic();
    // State dump. The state of the services of the traffic thread is read on that thread.
    boost::json::value dump();

    DispatchSettings m_settings;
    Daemon m_daemon;
    MetricRegistry m_metrics;
    PeerServer m_server;
    ControlPlane m_controlPlane;
    PeerClient m_peers;
    ClientPeerLink m_link;
    PlatformClient m_platform;
    PlatformClaimStore m_claimStore;
    LoadRouter m_router;
    LimitService m_limits;
    LoadControl m_load;
    RetryBudget m_retries;
    PoisonTable m_poison;
    UnresponsiveHomes m_unresponsiveHomes;
    RecordTable m_records;
    RecordService m_recordService;
    ClaimService m_claims;
    Coordinator m_coordinator;
    HomeService m_homes;
    Dispatcher m_dispatcher;
    AdminServer m_admin;
};

}
