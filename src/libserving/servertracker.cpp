#include "libserving/servertracker.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Weight of a failed call against a slow one in the cost of a server.
    constexpr double failureWeight = 6;
    constexpr int mostDoublings = 4;

}

ServerTracker::ServerTracker(ServerTrackerOptions options)
    : m_options(options)
{
}

void ServerTracker::onCallStarted(const BackendServerId& id)
{
    ++m_seen[id].inFlight;
}

void ServerTracker::onCallEnded(
    const BackendServerId& id, CallOutcome end, Duration took, TimePoint now)
{
    Seen& seen = m_seen[id];
    seen.inFlight = std::max(seen.inFlight - 1, 0);
    if (end == CallOutcome::Abandoned)
        return;
    const double weight = m_options.newestWeight;
    if (end == CallOutcome::Answered)
        seen.milliseconds += weight * (inMilliseconds(took) - seen.milliseconds);
    countEnd(seen, end, now);
}

void ServerTracker::countEnd(Seen& seen, CallOutcome end, TimePoint now) const
{
    if (end == CallOutcome::Refused) {
        seen.avoidedUntil = std::max(seen.avoidedUntil, now + m_options.refusedAvoidTime);
        return;
    }
    ++seen.ended;
    const bool isFailure = end != CallOutcome::Answered;
    seen.failureShare += m_options.newestWeight * ((isFailure ? 1 : 0) - seen.failureShare);
    if (end == CallOutcome::Answered || end == CallOutcome::Failed) {
        seen.silences = 0;
        return;
    }
    const int doublings = std::min(seen.silences++, mostDoublings);
    const Milliseconds avoidTime
        = std::min(m_options.avoidTime * (1 << doublings), m_options.longestAvoidTime);
    if (end == CallOutcome::Unresponsive || seen.silences > 1)
        seen.avoidedUntil = std::max<TimePoint>(seen.avoidedUntil, now + avoidTime);
}

bool ServerTracker::isAvoided(const BackendServerId& id, TimePoint now) const
{
    const auto found = m_seen.find(id);
    if (found == m_seen.end())
        return false;
    const Seen& seen = found->second;
    return now < seen.avoidedUntil
        || (seen.ended >= m_options.enoughCalls && seen.failureShare > m_options.failureLimit);
}

double ServerTracker::cost(const BackendServerId& id) const
{
    const auto found = m_seen.find(id);
    if (found == m_seen.end())
        return 1;
    const Seen& seen = found->second;
    return (1 + seen.milliseconds) * (1 + seen.inFlight) * (1 + failureWeight * seen.failureShare);
}

int ServerTracker::inFlight(const BackendServerId& id) const
{
    const auto found = m_seen.find(id);
    return found == m_seen.end() ? 0 : found->second.inFlight;
}

void ServerTracker::retain(const std::set<BackendServerId>& known)
{
    std::erase_if(m_seen, [&known](const auto& entry) {
        return entry.second.inFlight == 0 && !known.contains(entry.first);
    });
}

}
