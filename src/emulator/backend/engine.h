#pragma once

#include "libapricot/clock.h"
#include "prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Apricot {

// Reaction of the engine when more runs arrive during a cold start than the cold cap allows.
enum class ColdOverload {
    // Only counts the violation.
    Count,
    // Runs everything in flight at a fraction of the normal speed until the engine is idle.
    Degrade,
    Crash,
    Refuse,
};

struct EngineOptions {
    std::string incarnation;
    // Maximum number of runs in flight during a cold start.
    int coldCap = 2;
    // Number of finished runs, and busy time of these runs, after which the engine is warm. Both must
    // be reached.
    std::uint64_t coldRequests = 16;
    Milliseconds coldBusyTime { 0 };
    // Maximum number of runs in flight; further runs are refused.
    int warmCap = 8;
    // Time per generated token with a batch size of one, and time per uncached prompt token.
    Duration tokenTime = Milliseconds(10);
    Duration prefillTimePerToken = Microseconds(200);
    std::size_t prefixCacheTokens = 4096;
    // Maximum age of the values in a health response.
    Milliseconds maxHealthAge { 500 };
    ColdOverload coldOverload = ColdOverload::Count;
};

struct EngineHealth {
    std::string incarnation;
    int inFlight = 0;
    std::uint64_t completed = 0;

    auto operator<=>(const EngineHealth&) const = default;
};

// Counts of what the engine actually received, whatever state its clients assume. Tests verify the
// system's guarantees with them.
struct EngineCounts {
    int inFlight = 0;
    int peakInFlight = 0;
    int peakInFlightCold = 0;
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0;
    // Runs that arrived during a cold start while the cold cap was reached.
    std::uint64_t coldViolations = 0;
    // Cold violations after a return to a cold start, before the engine had sent anything from which
    // a client could detect the cold start.
    std::uint64_t coldViolationsUnnoticed = 0;

    auto operator<=>(const EngineCounts&) const = default;
};

enum class EngineAdmission {
    Started,
    Refused,
    Crashed,
};

// State of an inference engine without I/O: batch, cold start, prefix cache, and the health and
// counts that it reports. Doesn't read the clock; every time is a parameter.
class Engine {
public:
    explicit Engine(EngineOptions options);

    // Starts a run, unless the engine refuses it or crashes. A started run ends with finish() or
    // cancel().
    EngineAdmission start(std::uint64_t run);
    // Ends a run after all its tokens were sent. Has no effect on a run of an earlier incarnation.
    void finish(std::uint64_t run, Duration busy);
    void cancel(std::uint64_t run);

    // Returns the time to process an input before the first token, and adds the input to the prefix
    // cache.
    Duration beginPrefill(const std::string& input);
    // Time until the next token of each run in the batch. Increases with the size of the batch.
    Duration stepTime() const;

    // Returns to a cold start without reporting it to clients.
    void resetToCold();
    // Drops all runs in flight and restarts cold under another incarnation.
    void restart(std::string incarnation);
    // Sets the factor by which the duration of every step is multiplied.
    void setSlowdownFactor(double factor) { m_slowdownFactor = factor; }
    // Records that something was sent from which a client could detect the cold start.
    void markColdStartObservable() { m_coldStartObservable = true; }

    bool isCold() const { return m_cold; }
    bool isRunning(std::uint64_t run) const { return m_running.contains(run); }
    // Health as published by the engine, updated when it is older than EngineOptions::maxHealthAge.
    EngineHealth health(TimePoint now);
    EngineCounts counts() const;
    const std::string& incarnation() const { return m_options.incarnation; }

private:
    bool isColdCapReached() const;
    EngineAdmission refuseRun();
    void countColdViolation();

    EngineOptions m_options;
    PrefixCache m_prefixCache;
    std::set<std::uint64_t> m_running;
    bool m_cold = true;
    bool m_coldStartObservable = true;
    bool m_degraded = false;
    double m_slowdownFactor = 1;
    std::uint64_t m_finishedWhileCold = 0;
    Duration m_coldBusyTime {};
    EngineCounts m_counts;
    EngineHealth m_published;
    std::optional<TimePoint> m_publishedAt;
};

}
