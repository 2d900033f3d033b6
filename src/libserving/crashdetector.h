#pragma once

#include "libapricot/fingerprint.h"
#include "libapricot/poisontable.h"
#include "libserving/serverdirectory.h"
#include "libserving/serverstart.h"

#include <map>
#include <string_view>
#include <utility>
#include <vector>

namespace Apricot {

// How a run of a request or piece at a backend server ended, as seen by this host.
enum class RunEnd {
    // The server responded completely, with success or an error of its own.
    Complete,
    // The connection broke first.
    Broken,
    // No response arrived before the call was given up.
    Silent,
    // The response ended with its connection, which does not show that the server finished it.
    Unproven,
};

// A run that ended, and when it was sent.
struct EndedRun {
    Fingerprint fingerprint = 0;
    // See ServerCrash::stage.
    int stage = ServerCrash::requestStage;
    ServerStart server;
    Endpoint endpoint;
    RunEnd end = RunEnd::Complete;
    TimePoint sentAt {};
    // Shared parts of the prompt, if the end can tell something about them.
    std::vector<PoisonSubject> parts {};
    // How long the server had been responding.
    Duration respondedFor { 0 };

    std::vector<PoisonSubject> subjects() const;
};

// Why a server counts as ended.
enum class CrashEvidence {
    // Its host refuses connections to its address.
    ConnectionRefused,
    // Another server, or another start of it, uses its ID or its address.
    Replaced,
    // It is no longer registered.
    Unregistered,
};

std::string_view crashEvidenceName(CrashEvidence evidence);

struct DetectedCrash {
    // The request, and the shared parts of its prompt.
    std::vector<PoisonSubject> subjects;
    ServerCrash crash;
    // The server had been responding for so long that the parts did not end it.
    bool clearsParts = false;

    auto operator<=>(const DetectedCrash&) const = default;
};

struct CrashDetectorOptions {
    // How long after the end of a run the end of its server is attributed to it. Registrations expire
    // after some seconds, and a server returns after some seconds.
    Milliseconds attributionTime { 15'000 };
    // A part that ends servers does so as they begin to respond. After this time of responding it did not.
    Milliseconds provenResponseTime { 1000 };
    // A call that was sent within this time after the end of a run and got a response was not run by the server's next
    // start, which takes some seconds.
    Milliseconds sameStartTime { 1000 };
    // Time after which a crash is no longer withdrawn.
    Milliseconds withdrawalTime { 60'000 };
    std::size_t maxRuns = 4096;
};

// Decides which runs ended because their server ended. A connection that breaks is no proof: responses
// are lost, connections reset, and hosts partitioned or paused while the server continues. A run counts
// as crashed only with evidence that its server's process ended, and no longer if that server is registered
// again with the same start. A response alone withdraws nothing: a server may start again under its ID before
// its new entry is known. A response that ends with its connection may be one that its server broke off.
class CrashDetector {
public:
    explicit CrashDetector(CrashDetectorOptions options = {});

    // Records the end of a run; an unproven one is a success as far as its response tells. Returns whether connecting to the server's address can tell at once
    // whether the server has ended. A complete run shows that its server had not ended when the run was
    // sent.
    bool recordRun(const EndedRun& run, const ServerDirectory& servers, TimePoint now);
    // Reports that the host of a server refused a connection. Returns the runs that it crashed with.
    std::vector<DetectedCrash> onConnectionRefused(const ServerStart& server, TimePoint now);
    // Compares the runs with the servers that are registered now, and returns those that crashed, by
    // evidence. Runs whose attribution time is over are removed.
    std::map<CrashEvidence, std::vector<DetectedCrash>> onServersChanged(
        const ServerDirectory& servers, TimePoint now);
    // Returns, once, the subjects of runs whose responses ended with their connections and whose servers went on, so
    // that they did finish.
    std::vector<std::vector<PoisonSubject>> drainProven() { return std::exchange(m_proven, {}); }
    // Returns, once, the detected crashes whose servers turned out not to have ended.
    std::vector<DetectedCrash> drainWithdrawn() { return std::exchange(m_withdrawn, {}); }
    std::size_t pendingRuns() const { return m_runs.size(); }

private:
    struct PendingRun {
        EndedRun run;
        TimePoint endedAt {};
    };
    struct ReportedCrash {
        DetectedCrash crash;
        // The server has been seen unregistered since.
        bool wasUnregistered = false;
        TimePoint reportedAt {};
    };

    void onServerResponded(const ServerStart& server, TimePoint sentAt);
    DetectedCrash report(const EndedRun& run, CrashEvidence evidence, TimePoint now);
    void withdrawRegistered(const ServerDirectory& servers, TimePoint now);

    CrashDetectorOptions m_options;
    std::vector<PendingRun> m_runs;
    std::vector<ReportedCrash> m_reported;
    std::vector<DetectedCrash> m_withdrawn;
    std::vector<std::vector<PoisonSubject>> m_proven;
};

}
