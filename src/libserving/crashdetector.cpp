#include "libserving/crashdetector.h"

#include <algorithm>

namespace Apricot {

namespace {

    // The registered entry of this start of a server, or null.
    const KnownServer* findRegistered(const ServerStart& server, const ServerDirectory& servers)
    {
        const auto found = servers.all().find(server.server);
        return found == servers.all().end() || found->second.server.startedAt != server.startedAt
            ? nullptr
            : &found->second;
    }

    // The latest start of a server at each of these addresses.
    std::map<Endpoint, std::int64_t> latestStarts(
        std::map<Endpoint, std::int64_t> starts, const ServerDirectory& servers)
    {
        for (const auto& [id, known] : servers.all()) {
            const auto found = starts.find(known.server.endpoint);
            if (found != starts.end())
                found->second = std::max(found->second, known.server.startedAt);
        }
        return starts;
    }

}

std::vector<PoisonSubject> EndedRun::subjects() const
{
    std::vector<PoisonSubject> all { { fingerprint } };
    all.insert(all.end(), parts.begin(), parts.end());
    return all;
}

std::string_view crashEvidenceName(CrashEvidence evidence)
{
    switch (evidence) {
    case CrashEvidence::ConnectionRefused:
        return "connection_refused";
    case CrashEvidence::Replaced:
        return "replaced";
    case CrashEvidence::Unregistered:
        return "unregistered";
    }
    return "unknown";
}

CrashDetector::CrashDetector(CrashDetectorOptions options)
    : m_options(options)
{
}

bool CrashDetector::recordRun(const EndedRun& run, const ServerDirectory& servers, TimePoint now)
{
    if (run.end == RunEnd::Complete || run.end == RunEnd::Unproven)
        onServerResponded(run.server, run.sentAt);
    if (run.end == RunEnd::Complete)
        return false;
    const KnownServer* known = findRegistered(run.server, servers);
    // A server that leaves as planned may cut its last runs.
    if (!known || known->server.isDraining)
        return false;
    if (m_runs.size() >= m_options.maxRuns)
        m_runs.erase(m_runs.begin());
    m_runs.push_back({ run, now });
    return run.end == RunEnd::Broken;
}

void CrashDetector::onServerResponded(const ServerStart& server, TimePoint sentAt)
{
    std::erase_if(m_runs, [&](const PendingRun& pending) {
        if (pending.run.server != server || pending.endedAt > sentAt)
            return false;
        if (pending.run.end == RunEnd::Unproven && sentAt <= pending.endedAt + m_options.sameStartTime)
            m_proven.push_back(pending.run.subjects());
        return true;
    });
}

DetectedCrash CrashDetector::report(const EndedRun& run, CrashEvidence evidence, TimePoint now)
{
    DetectedCrash crash { .subjects = run.subjects(),
        .crash = { run.server.server, run.server.startedAt, run.stage },
        .clearsParts = run.respondedFor >= m_options.provenResponseTime };
    if (m_reported.size() >= m_options.maxRuns)
        m_reported.erase(m_reported.begin());
    m_reported.push_back({ .crash = crash,
        .wasUnregistered = evidence == CrashEvidence::Unregistered,
        .reportedAt = now });
    return crash;
}

std::vector<DetectedCrash> CrashDetector::onConnectionRefused(const ServerStart& server, TimePoint now)
{
    std::vector<DetectedCrash> crashes;
    std::erase_if(m_runs, [&](const PendingRun& pending) {
        if (pending.run.server != server || pending.run.end == RunEnd::Silent)
            return false;
        crashes.push_back(report(pending.run, CrashEvidence::ConnectionRefused, now));
        return true;
    });
    return crashes;
}

std::map<CrashEvidence, std::vector<DetectedCrash>> CrashDetector::onServersChanged(
    const ServerDirectory& servers, TimePoint now)
{
    std::map<CrashEvidence, std::vector<DetectedCrash>> crashes;
    withdrawRegistered(servers, now);
    std::map<Endpoint, std::int64_t> endpoints;
    for (const PendingRun& pending : m_runs)
        endpoints[pending.run.endpoint] = pending.run.server.startedAt;
    const auto starts = latestStarts(std::move(endpoints), servers);
    std::erase_if(m_runs, [&](const PendingRun& pending) {
        if (pending.endedAt + m_options.attributionTime <= now)
            return true;
        const KnownServer* known = findRegistered(pending.run.server, servers);
        if (known && known->server.isDraining)
            return true;
        const bool isReplaced
            = starts.at(pending.run.endpoint) > pending.run.server.startedAt
            || (!known && servers.all().contains(pending.run.server.server));
        if (known && !isReplaced)
            return false;
        const CrashEvidence evidence
            = isReplaced ? CrashEvidence::Replaced : CrashEvidence::Unregistered;
        crashes[evidence].push_back(report(pending.run, evidence, now));
        return true;
    });
    return crashes;
}

void CrashDetector::withdrawRegistered(const ServerDirectory& servers, TimePoint now)
{
    std::erase_if(m_reported, [&](ReportedCrash& reported) {
        const ServerCrash& crash = reported.crash.crash;
        const bool isRegistered
            = findRegistered({ crash.server, crash.startedAt }, servers) != nullptr;
        if (isRegistered && reported.wasUnregistered) {
            m_withdrawn.push_back(reported.crash);
            return true;
        }
        reported.wasUnregistered = reported.wasUnregistered || !isRegistered;
        return reported.reportedAt + m_options.withdrawalTime <= now;
    });
}

}
