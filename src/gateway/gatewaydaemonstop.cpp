#include "gateway/gatewaydaemon.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

// How the daemon ends a planned stop.

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Time after the stop signal during which idle connections stay open and new ones are accepted, so
    // that the load balancer notices that this host is leaving.
    constexpr Milliseconds balancerNoticeTime { 2500 };
    // Longest wait for the store to remove this host's entry before the stop goes on.
    constexpr Milliseconds deregistrationTime { 1000 };
    // Subtracted from the grace period, so that the process exits before it is killed.
    constexpr Milliseconds shutdownMargin { 600 };
    // Requests not yet sent to a server are refused this long before the end, so that their callers get
    // a response.
    constexpr Milliseconds refusalMargin { 400 };
    constexpr Milliseconds drainPollInterval { 50 };
    constexpr Milliseconds deregistrationPollInterval { 5 };

}

Asio::awaitable<void> GatewayDaemon::waitForStop()
{
    co_await m_stopSignals.async_wait(Asio::use_awaitable);
    co_await shutDown();
}

Asio::awaitable<void> GatewayDaemon::deregister()
{
    co_await m_viewUpdater.deregister();
    m_isDeregistered = true;
}

Asio::awaitable<void> GatewayDaemon::shutDown()
{
    writeLog(LogLevel::Info, "shutdown_started");
    m_isStopping = true;
    const TimePoint startedAt = RuntimeClock::now();
    const auto graceTime
        = std::chrono::duration_cast<Milliseconds>(std::chrono::duration<double>(m_settings.graceSeconds));
    const TimePoint endsAt = startedAt + graceTime - shutdownMargin;
    m_callerServer.closeAfterResponses();
    const auto executor = m_context.get_executor();
    // Other hosts learn first that this one leaves, unless the store takes long.
    Asio::co_spawn(executor, deregister(), Asio::detached);
    while (!m_isDeregistered && RuntimeClock::now() < startedAt + deregistrationTime)
        co_await sleepFor(executor, deregistrationPollInterval);
    m_peerViewSync.stop();
    m_stageHome.stop();
    m_relayServer.stop();
    while (RuntimeClock::now() < startedAt + balancerNoticeTime)
        co_await sleepFor(executor, drainPollInterval);
    m_callerServer.stopAfterPendingRequests();
    while (RuntimeClock::now() < endsAt
        && (m_callerServer.exchangesInFlight() > 0 || m_peerServer.streamsInFlight() > 0)) {
        if (RuntimeClock::now() >= endsAt - refusalMargin)
            m_requests.refuseUnsent();
        co_await sleepFor(executor, drainPollInterval);
    }
    writeLog(LogLevel::Info, "shutdown_finished",
        { { "requests_cut", m_callerServer.exchangesInFlight() } });
    m_context.stop();
}

}
