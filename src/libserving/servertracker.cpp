#include "libserving/servertracker.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Weight of the share of failed calls in the cost of a server, relative to its response time.
    constexpr double failureWeight = 6;
    constexpr int maxDoublings = 4;

}

ServerTracker::ServerTracker(ServerTrackerOptions options)
    : m_options(options)
{
}

void ServerTracker::onCallStarted(const BackendServerId& id)
{
    ++m_stats[id].inFlight;
}

void ServerTracker::onCallEnded(
    const BackendServerId& id, CallOutcome outcome, Duration duration, TimePoint now)
{
    ServerStats& stats = m_stats[id];
    stats.inFlight = std::max(stats.inFlight - 1, 0);
    if (outcome == CallOutcome::Abandoned)
        return;
    const double weight = m_options.newestCallWeight;
    if (outcome == CallOutcome::Responded)
        stats.meanMilliseconds += weight * (inMilliseconds(duration) - stats.meanMilliseconds);
    recordOutcome(stats, outcome, now);
}

void ServerTracker::onResponseBroken(const BackendServerId& id, TimePoint now)
{
    recordOutcome(m_stats[id], CallOutcome::Broken, now);
}

void ServerTracker::recordOutcome(ServerStats& stats, CallOutcome outcome, TimePoint now) const
{
    if (outcome == CallOutcome::Refused) {
        stats.avoidedUntil = std::max(stats.avoidedUntil, now + m_options.refusedAvoidTime);
        return;
    }
    ++stats.endedCalls;
    const bool isFailure = outcome != CallOutcome::Responded;
    stats.failureShare += m_options.newestCallWeight * ((isFailure ? 1 : 0) - stats.failureShare);
    if (outcome == CallOutcome::Responded || outcome == CallOutcome::Failed) {
        stats.callsWithoutResponse = 0;
        return;
    }
    const int doublings = std::min(stats.callsWithoutResponse++, maxDoublings);
    const Milliseconds avoidTime
        = std::min(m_options.avoidTime * (1 << doublings), m_options.maxAvoidTime);
    if (outcome == CallOutcome::Unresponsive || stats.callsWithoutResponse > 1)
        stats.avoidedUntil = std::max<TimePoint>(stats.avoidedUntil, now + avoidTime);
}

bool ServerTracker::isAvoided(const BackendServerId& id, TimePoint now) const
{
    const auto found = m_stats.find(id);
    if (found == m_stats.end())
        return false;
    const ServerStats& stats = found->second;
    return now < stats.avoidedUntil
        || (stats.endedCalls >= m_options.minEndedCalls
            && stats.failureShare > m_options.maxFailureShare);
}

double ServerTracker::cost(const BackendServerId& id) const
{
    const auto found = m_stats.find(id);
    if (found == m_stats.end())
        return 1;
    const ServerStats& stats = found->second;
    return (1 + stats.meanMilliseconds) * (1 + stats.inFlight) * (1 + failureWeight * stats.failureShare);
}

int ServerTracker::inFlight(const BackendServerId& id) const
{
    const auto found = m_stats.find(id);
    return found == m_stats.end() ? 0 : found->second.inFlight;
}

void ServerTracker::retain(const std::set<BackendServerId>& listed)
{
    std::erase_if(m_stats, [&listed](const auto& entry) {
        return entry.second.inFlight == 0 && !listed.contains(entry.first);
    });
}

}
