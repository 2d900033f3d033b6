#pragma once

#include "gateway/poisonsync.h"
#include "gateway/serverendprobe.h"
#include "libapricot/metrics.h"
#include "libserving/runobserver.h"

#include <set>

namespace Apricot {

// Finds out which requests were running on backend servers that ended, and records them in the poison
// table of all hosts.
class CrashMonitor : public RunObserver {
public:
    CrashMonitor(boost::asio::io_context& context, ServingView& view, PoisonTable& poison,
        PoisonSync& sync, ServerEndProbe& serverEnds, MetricRegistry& metrics);

    void onRunEnded(const EndedRun& run) override;
    void onFinished(const std::vector<PoisonSubject>& subjects, int stage) override;
    // Checks whether servers of runs that broke have been unregistered or replaced.
    void onServersChanged();

private:
    // Checks whether the process of a server has ended.
    boost::asio::awaitable<void> probe(ServerStart server, Endpoint endpoint);
    void recordCrashes(CrashEvidence evidence, const std::vector<DetectedCrash>& crashes);
    void recordWithdrawn();

    boost::asio::io_context& m_context;
    ServingView& m_view;
    PoisonTable& m_poison;
    PoisonSync& m_sync;
    ServerEndProbe& m_serverEnds;
    MetricRegistry& m_metrics;
    CrashDetector m_detector;
    // Servers that are being probed.
    std::set<ServerStart> m_probed;
};

}
