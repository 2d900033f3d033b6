#pragma once

#include "gateway/crashmonitor.h"
#include "gateway/peerviewsync.h"
#include "gateway/relayserver.h"
#include "gateway/requestservice.h"
#include "gateway/rollout/rolloutsync.h"
#include "gateway/servingviewupdater.h"
#include "libnet/adminserver.h"
#include "libnet/machinelimits.h"
#include "libserving/gatewaysettings.h"

#include <boost/asio/signal_set.hpp>

namespace Apricot {

// The gateway process. Everything runs on one thread, because a host has only a share of one core.
class GatewayDaemon {
public:
    // Program name in log lines.
    static constexpr const char* programName = "apricot-gateway";

    // The settings file is read again on SIGHUP.
    GatewayDaemon(const GatewaySettings& settings, std::string settingsFile);

    // Serves until SIGTERM or SIGINT, then finishes the requests in flight within the grace period.
    void run();
    // Starts to serve, on the event loop returned by context(). For callers that run it themselves.
    void start();
    boost::asio::io_context& context() { return m_context; }
    BackendLinks& links() { return m_links; }

private:
    boost::asio::awaitable<void> respondToReadinessProbe(HttpExchange& exchange);
    boost::asio::awaitable<void> servePeer(std::shared_ptr<PeerStream> stream);
    boost::asio::awaitable<void> respondToPeer(
        std::shared_ptr<PeerStream> stream, TextMessage request);
    boost::asio::awaitable<void> waitForStop();
    boost::asio::awaitable<void> waitForReload();
    boost::asio::awaitable<void> shutDown();
    // Removes this host's entry from the store.
    boost::asio::awaitable<void> deregister();
    void onViewChanged();
    void onHostsChanged();
    void followRollouts();
    void applyRollout(const PlatformObject& object);
    void reload();
    void applyLimits();
    // Bounds what is held for clients by what the machine has.
    void applyMachineLimits();
    // Logs that a limit ended connections or requests of callers, once a second for each limit.
    void logLimitMet(std::string_view limit);
    HealthReport health() const;
    boost::json::value state() const;

    GatewaySettings m_settings;
    std::string m_settingsFile;
    // Outlives the connections that the event loop destroys.
    MemoryAccount m_memory;
    boost::asio::io_context m_context;
    MetricRegistry m_metrics;
    MachineLimits m_machine;
    ServingView m_view;
    ServerTracker m_tracker;
    RetryWindow m_retries;
    ColdLimiter m_coldLimiter;
    PoisonTable m_poison;
    PlatformClient m_store;
    StoreCallCounter m_storeCalls;
    ServingViewUpdater m_viewUpdater;
    PeerClient m_peers;
    LimitPermits m_limits;
    ServerStatements m_statements;
    BackendLinks m_links;
    RelayClient m_relays;
    ServerCalls m_calls;
    ServerEndProbe m_serverEnds;
    RolloutObserver m_rolloutObserver;
    BackendCaller m_backendCaller;
    RelayServer m_relayServer;
    PoisonSync m_poisonSync;
    CrashMonitor m_crashMonitor;
    PeerViewSync m_peerViewSync;
    RolloutSync m_rolloutSync;
    StageHome m_stageHome;
    StageRouter m_stageRouter;
    StageRunner m_stageRunner;
    StreamOriginSync m_streamOrigins;
    PlainForwarder m_plainForwarder;
    StreamForwarder m_streamForwarder;
    GatewayMetrics m_gatewayMetrics;
    RequestService m_requests;
    HttpServer m_callerServer;
    HttpServer m_readinessServer;
    PeerServer m_peerServer;
    AdminServer m_adminServer;
    boost::asio::signal_set m_stopSignals;
    boost::asio::signal_set m_reloadSignals;
    // What was last applied of the view's hosts and removals of servers.
    std::uint64_t m_hostsGeneration = 0;
    std::uint64_t m_serverRemovals = 0;
    // When each limit of callers was last logged, and how often it was met since.
    std::map<std::string, std::pair<TimePoint, std::uint64_t>, std::less<>> m_limitsMet;
    bool m_isStopping = false;
    bool m_isDeregistered = false;
};

}
