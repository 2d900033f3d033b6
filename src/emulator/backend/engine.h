#pragma once

#include "libapricot/clock.h"
#include "prefixcache.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Apricot {

// What the engine does when a cold start receives more work than it bears.
enum class ColdOverload {
    // Only counts the violation.
    Count,
    // Runs everything in flight at a fraction of its speed until it is idle.
    Degrade,
    Crash,
    Refuse,
};

struct EngineOptions {
    std::string incarnation;
    // Most runs in flight that a cold start bears.
    int coldCap = 2;
    // Finished runs, and time spent on them, after which the engine is warm.
    std::uint64_t coldRequests = 16;
    Milliseconds coldBusyTime { 0 };
    // Most runs in flight; more are refused.
    int warmCap = 8;
    // Time of one token with a batch of one, and of one prompt token that is not cached.
    Duration tokenTime = Milliseconds(10);
    Duration prefillTimePerToken = Microseconds(200);
    std::size_t prefixCacheTokens = 4096;
    // How old the figures of the health answer may be.
    Milliseconds maxHealthAge { 500 };
    ColdOverload coldOverload = ColdOverload::Count;
};

struct EngineHealth {
    std::string incarnation;
    int inFlight = 0;
    std::uint64_t completed = 0;

    auto operator<=>(const EngineHealth&) const = default;
};

// Figures that proofs read: what the engine really received, whatever its clients believe.
struct EngineCounts {
    int inFlight = 0;
    int peakInFlight = 0;
    int peakInFlightCold = 0;
    std::uint64_t runs = 0;
    std::uint64_t completed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t refused = 0;
    std::uint64_t crashes = 0;
    // Runs that arrived during a cold start while it was full.
    std::uint64_t coldViolations = 0;
    // Those of them that arrived after a fall into a cold start that the engine had not yet shown by
    // anything it sent.
    std::uint64_t coldViolationsUnnoticed = 0;

    auto operator<=>(const EngineCounts&) const = default;
};

enum class EngineAdmission {
    Started,
    Refused,
    Crashed,
};

// State of an inference engine without its input and output: batch, cold start, prefix cache and
// the figures it reports. Every time is a parameter.
class Engine {
public:
    explicit Engine(EngineOptions options);

    // Takes a run, or says why not. A run that started ends with finish() or cancel().
    EngineAdmission start(std::uint64_t run);
    // Ends a run after its whole answer was written. Does nothing for a run of an earlier incarnation.
    void finish(std::uint64_t run, Duration busy);
    void cancel(std::uint64_t run);

    // Time until the first token of an input. Stores the input's prefix.
    Duration beginPrefill(const std::string& input);
    // Time of the next token of each run in the batch, which slows with the batch's size.
    Duration stepTime() const;

    // Falls back into a cold start without telling anyone.
    void resetToCold();
    // Loses everything in flight and starts again cold under another incarnation.
    void restart(std::string incarnation);
    // Slows every step by a factor.
    void setSlowdownFactor(double factor) { m_slowdownFactor = factor; }
    // Notes that something was sent from which a client could tell the cold start.
    void markColdStartObservable() { m_coldStartObservable = true; }

    bool isCold() const { return m_cold; }
    bool isRunning(std::uint64_t run) const { return m_running.contains(run); }
    // Health as the engine publishes it: up to the load lag old.
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
