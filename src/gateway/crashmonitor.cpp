#include "gateway/crashmonitor.h"

#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

CrashMonitor::CrashMonitor(Asio::io_context& context, ServingView& view, PoisonTable& poison,
    PoisonSync& sync, ServerEndProbe& serverEnds, MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_poison(poison)
    , m_sync(sync)
    , m_serverEnds(serverEnds)
    , m_metrics(metrics)
{
}

void CrashMonitor::onRunEnded(const EndedRun& run)
{
    const bool canProbe = m_detector.recordRun(run, m_view.servers(), RuntimeClock::now());
    for (const std::vector<PoisonSubject>& subjects : m_detector.drainProven())
        onFinished(subjects, ServerCrash::requestStage);
    recordWithdrawn();
    if (canProbe && m_probed.insert(run.server).second)
        Asio::co_spawn(m_context, probe(run.server, run.endpoint), Asio::detached);
}

Asio::awaitable<void> CrashMonitor::probe(ServerStart server, Endpoint endpoint)
{
    const bool hasEnded = co_await m_serverEnds.hasEnded(std::move(endpoint));
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
        const std::vector<Fingerprint> changed
            = m_poison.recordCrash(detected.subjects, detected.crash, detected.clearsParts, now);
        if (changed.empty())
            continue;
        const Fingerprint request = detected.subjects.front().fingerprint;
        writeLog(LogLevel::Info, "request_crashed_server",
            { { "identity", toText(request) }, { "parts", partNames(detected.subjects) },
                { "server", detected.crash.server.value() },
                { "started_at", detected.crash.startedAt }, { "stage", detected.crash.stage },
                { "evidence", crashEvidenceName(evidence) }, { "clears_parts", detected.clearsParts },
                { "crashes", m_poison.crashCount(request, now) } });
        m_metrics
            .counter("apricot_server_crashes_total",
                "Runs of requests during which their backend server ended.",
                { { "evidence", std::string(crashEvidenceName(evidence)) } })
            .add();
        m_sync.publish(changed);
    }
}

void CrashMonitor::recordWithdrawn()
{
    const TimePoint now = RuntimeClock::now();
    for (const DetectedCrash& detected : m_detector.drainWithdrawn()) {
        const std::vector<Fingerprint> changed
            = m_poison.withdrawCrash(detected.subjects, detected.crash, now);
        if (changed.empty())
            continue;
        writeLog(LogLevel::Info, "crash_withdrawn",
            { { "identity", toText(detected.subjects.front().fingerprint) },
                { "parts", partNames(detected.subjects) },
                { "server", detected.crash.server.value() },
                { "started_at", detected.crash.startedAt } });
        m_sync.publish(changed);
    }
}

void CrashMonitor::onFinished(const std::vector<PoisonSubject>& subjects, int stage)
{
    m_sync.publish(m_poison.recordFinish(subjects, stage, RuntimeClock::now()));
}

}
