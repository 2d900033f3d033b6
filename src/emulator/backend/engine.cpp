#include "engine.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    constexpr double coldSlowdown = 2.5;
    constexpr double degradedSlowdown = 10;
    // Fraction of the step time that each further run in the batch adds.
    constexpr double batchSlowdown = 0.08;

    Duration scaled(Duration time, double factor)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(time.count()) * factor));
    }

}

Engine::Engine(EngineOptions options)
    : m_options(std::move(options))
    , m_prefixCache(m_options.prefixCacheTokens)
{
}

EngineAdmission Engine::start(std::uint64_t run)
{
    if (isColdCapReached()) {
        countColdViolation();
        if (m_options.coldOverload == ColdOverload::Refuse)
            return refuseRun();
        if (m_options.coldOverload == ColdOverload::Crash)
            return EngineAdmission::Crashed;
        m_degraded = m_options.coldOverload == ColdOverload::Degrade;
    }
    if (static_cast<int>(m_running.size()) >= m_options.warmCap)
        return refuseRun();
    m_running.insert(run);
    ++m_counts.runs;
    const int inFlight = static_cast<int>(m_running.size());
    m_counts.peakInFlight = std::max(m_counts.peakInFlight, inFlight);
    if (m_cold)
        m_counts.peakInFlightCold = std::max(m_counts.peakInFlightCold, inFlight);
    return EngineAdmission::Started;
}

void Engine::finish(std::uint64_t run, Duration busy)
{
    if (m_running.erase(run) == 0)
        return;
    ++m_counts.completed;
    m_degraded = m_degraded && !m_running.empty();
    if (!m_cold)
        return;
    ++m_finishedWhileCold;
    m_coldBusyTime += busy;
    m_cold = m_finishedWhileCold < m_options.coldRequests
        || m_coldBusyTime < m_options.coldBusyTime;
}

void Engine::cancel(std::uint64_t run)
{
    if (m_running.erase(run) == 0)
        return;
    ++m_counts.cancelled;
    m_degraded = m_degraded && !m_running.empty();
}

Duration Engine::beginPrefill(const std::string& input)
{
    const std::size_t tokens = splitTokens(input).size();
    const std::size_t cachedTokens = m_prefixCache.lookUpAndStore(input);
    const double factor = (m_cold ? coldSlowdown : 1) * m_slowdownFactor;
    return scaled(m_options.prefillTimePerToken * static_cast<long>(tokens - cachedTokens), factor);
}

Duration Engine::stepTime() const
{
    const auto otherRuns = static_cast<double>(m_running.empty() ? 0 : m_running.size() - 1);
    double factor = (1 + batchSlowdown * otherRuns) * m_slowdownFactor;
    if (m_cold)
        factor *= coldSlowdown;
    if (m_degraded)
        factor *= degradedSlowdown;
    return scaled(m_options.tokenTime, factor);
}

void Engine::resetToCold()
{
    m_cold = true;
    m_coldStartObservable = false;
    m_finishedWhileCold = 0;
    m_coldBusyTime = Duration::zero();
    m_prefixCache.clear();
}

void Engine::restart(std::string incarnation)
{
    resetToCold();
    m_coldStartObservable = true;
    m_degraded = false;
    m_running.clear();
    ++m_counts.crashes;
    m_options.incarnation = std::move(incarnation);
    m_publishedAt.reset();
}

EngineHealth Engine::health(TimePoint now)
{
    if (!m_publishedAt || now - *m_publishedAt >= m_options.maxHealthAge) {
        m_published = { .incarnation = m_options.incarnation,
            .inFlight = static_cast<int>(m_running.size()),
            .completed = m_counts.completed };
        m_publishedAt = now;
    }
    return m_published;
}

EngineCounts Engine::counts() const
{
    EngineCounts counts = m_counts;
    counts.inFlight = static_cast<int>(m_running.size());
    return counts;
}

bool Engine::isColdCapReached() const
{
    return m_cold && static_cast<int>(m_running.size()) >= m_options.coldCap;
}

EngineAdmission Engine::refuseRun()
{
    ++m_counts.refused;
    return EngineAdmission::Refused;
}

void Engine::countColdViolation()
{
    ++m_counts.coldViolations;
    if (!m_coldStartObservable)
        ++m_counts.coldViolationsUnnoticed;
}

}
