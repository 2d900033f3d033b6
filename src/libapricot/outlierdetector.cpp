#include "libapricot/outlierdetector.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

OutlierDetector::OutlierDetector(OutlierOptions options)
    : m_options(options)
{
}

void OutlierDetector::recordOutcome(
    const StageOutcome& outcome, const BackendServerId& server, TimePoint now)
{
    ServerHistory& history = m_histories[server];
    switch (outcome.end) {
    case StageEndReason::Finished: {
        const auto tokens = static_cast<double>(std::max<std::uint64_t>(1, outcome.tokens));
        history.millisecondsPerToken.add(static_cast<double>(outcome.busy.count()) / tokens);
        history.consecutiveFailures = 0;
        break;
    }
    case StageEndReason::Failed:
    case StageEndReason::Crashed:
    case StageEndReason::TimedOut:
        if (now >= history.ejectedUntil)
            ++history.consecutiveFailures;
        break;
    case StageEndReason::Rejected:
    case StageEndReason::Cancelled:
        break;
    }
}

std::vector<BackendServerId> OutlierDetector::ejectOutliers(
    const std::vector<BackendServerId>& pool, TimePoint now)
{
    const auto ejectedCount = static_cast<std::size_t>(std::count_if(pool.begin(), pool.end(),
        [this, now](const BackendServerId& server) { return isEjected(server, now); }));
    const auto minActive = static_cast<std::size_t>(
        std::ceil(m_options.minActiveShare * static_cast<double>(pool.size())));
    std::size_t activeCount = pool.size() - ejectedCount;
    const double median = medianMillisecondsPerToken(pool);
    std::vector<BackendServerId> result;
    result.reserve(activeCount);
    for (const BackendServerId& server : pool) {
        ServerHistory& history = m_histories[server];
        if (now < history.ejectedUntil)
            continue;
        if (activeCount > minActive && isOutlier(history, median)) {
            eject(history, now);
            --activeCount;
            continue;
        }
        result.push_back(server);
    }
    // After removals from the pool, too few of its remaining servers may be active; then all of them
    // are used.
    return result.size() < minActive ? pool : result;
}

bool OutlierDetector::isEjected(const BackendServerId& server, TimePoint now) const
{
    const auto found = m_histories.find(server);
    return found != m_histories.end() && now < found->second.ejectedUntil;
}

double OutlierDetector::medianMillisecondsPerToken(const std::vector<BackendServerId>& pool) const
{
    std::vector<double> means;
    for (const BackendServerId& server : pool) {
        const auto found = m_histories.find(server);
        if (found != m_histories.end() && found->second.millisecondsPerToken.sampleCount() > 0)
            means.push_back(found->second.millisecondsPerToken.value());
    }
    if (means.size() < 2)
        return 0;
    // The lower median for an even number, so that one slow server of two is detected.
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>((means.size() - 1) / 2);
    std::nth_element(means.begin(), middle, means.end());
    return *middle;
}

bool OutlierDetector::isOutlier(const ServerHistory& history, double median) const
{
    if (history.consecutiveFailures >= m_options.consecutiveFailureLimit)
        return true;
    return median > 0 && history.millisecondsPerToken.sampleCount() >= m_options.minSamples
        && history.millisecondsPerToken.value() > m_options.slowdownFactor * median;
}

void OutlierDetector::eject(ServerHistory& history, TimePoint now) const
{
    ++history.consecutiveEjections;
    const Milliseconds ejectionTime = m_options.baseEjectionTime * history.consecutiveEjections;
    history.ejectedUntil = now + std::min(ejectionTime, m_options.maxEjectionTime);
    // Results from before the ejection must not eject the server again after its return.
    history.consecutiveFailures = 0;
    history.millisecondsPerToken = {};
}

}
