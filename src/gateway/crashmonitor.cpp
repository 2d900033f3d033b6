#include "gateway/crashmonitor.h"

#include "gateway/serverprobe.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

CrashMonitor::CrashMonitor(Asio::io_context& context, ServingView& view, PoisonTable& poison,
    PoisonSync& sync, MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_poison(poison)
    , m_sync(sync)
    , m_metrics(metrics)
{
}

void CrashMonitor::onRunEnded(const EndedRun& run)
{
    const bool canProbe = m_detector.recordRun(run, m_view.servers(), RuntimeClock::now());
    recordWithdrawn();
    if (canProbe && m_probed.insert(run.server).second)
        Asio::co_spawn(m_context, probe(run.server, run.endpoint), Asio::detached);
}

Asio::awaitable<void> CrashMonitor::probe(ServerStart server, Endpoint endpoint)
{
    const bool hasEnded = co_await refusesConnections(m_context, std::move(endpoint));
    m_probed.erase(server);
    if (!hasEnded)
        co_return;
    const std::vector<DetectedCrash> crashes
        = m_detector.onConnectionRefused(server, RuntimeClock::now());
    recordCrashes(CrashEvidence::ConnectionRefused, crashes);
}

void CrashMonitor::onServersChanged()
{
    const auto crashes = m_detector.onServersChanged(m_view.servers(), RuntimeClock::now());
    recordWithdrawn();
    for (const auto& [evidence, runs] : crashes)
        recordCrashes(evidence, runs);
}

void CrashMonitor::recordCrashes(CrashEvidence evidence, const std::vector<DetectedCrash>& crashes)
{
    const TimePoint now = RuntimeClock::now();
    for (const DetectedCrash& detected : crashes) {
        const std::optional<PoisonState> before = m_poison.stateOf(detected.fingerprint, now);
        const auto notice = m_poison.recordCrash(detected.fingerprint, detected.crash, now);
        if (!notice)
            continue;
        writeLog(LogLevel::Info, "request_crashed_server",
            { { "identity", toText(detected.fingerprint) },
                { "server", detected.crash.server.value() },
                { "started_at", detected.crash.startedAt }, { "stage", detected.crash.stage },
                { "evidence", crashEvidenceName(evidence) },
                { "crashes", m_poison.crashCount(detected.fingerprint, now) } });
        m_metrics
            .counter("apricot_server_crashes_total",
                "Runs of requests during which their backend server ended.",
                { { "evidence", std::string(crashEvidenceName(evidence)) } })
            .add();
        m_sync.publish(detected.fingerprint);
        onStateChanged(*notice, before);
    }
}

void CrashMonitor::recordWithdrawn()
{
    const TimePoint now = RuntimeClock::now();
    for (const DetectedCrash& detected : m_detector.drainWithdrawn()) {
        const std::optional<PoisonState> before = m_poison.stateOf(detected.fingerprint, now);
        const auto notice = m_poison.withdrawCrash(detected.fingerprint, detected.crash, now);
        if (!notice)
            continue;
        writeLog(LogLevel::Info, "crash_withdrawn",
            { { "identity", toText(detected.fingerprint) },
                { "server", detected.crash.server.value() },
                { "started_at", detected.crash.startedAt } });
        m_sync.publish(detected.fingerprint);
        onStateChanged(*notice, before);
    }
}

void CrashMonitor::onFinished(Fingerprint fingerprint, int stage)
{
    if (m_poison.size() == 0)
        return;
    const TimePoint now = RuntimeClock::now();
    const std::optional<PoisonState> before = m_poison.stateOf(fingerprint, now);
    const auto notice = m_poison.recordFinish(fingerprint, stage, now);
    if (!notice)
        return;
    m_sync.publish(fingerprint);
    onStateChanged(*notice, before);
}

void CrashMonitor::onStateChanged(const PoisonNotice& notice, std::optional<PoisonState> before)
{
    const TimePoint now = RuntimeClock::now();
    const std::optional<PoisonState> after = m_poison.stateOf(notice.fingerprint, now);
    if (before == after)
        return;
    writeLog(after == PoisonState::Refused ? LogLevel::Warning : LogLevel::Info, "poison_state_changed",
        { { "identity", toText(notice.fingerprint) }, { "state", poisonStateName(after) },
            { "crashes", notice.crashes.size() }, { "source", "this host" } });
    if (m_changeHandler)
        m_changeHandler();
}

}
