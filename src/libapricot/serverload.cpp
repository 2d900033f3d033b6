#include "libapricot/serverload.h"

#include <algorithm>

namespace Apricot {

void ServerLoad::onAttemptChosen(TimePoint now)
{
    m_pendingAttempts = pendingAttempts(now) + 1;
    m_pendingAt = now;
}

void ServerLoad::onAttemptEnded(const StageOutcome& outcome, TimePoint now)
{
    m_pendingAttempts = std::max(0.0, pendingAttempts(now) - 1);
    m_pendingAt = now;
    if (outcome.cap > 0) {
        m_reportedLoad = outcome.load;
        m_reportedCap = outcome.cap;
        m_reportedAt = now;
    }
    if (outcome.end == StageEndReason::Rejected)
        m_backOffUntil = now + outcome.retryAfter;
    if (outcome.end == StageEndReason::Finished)
        m_busyMilliseconds.add(static_cast<double>(outcome.busy.count()));
}

double ServerLoad::load(TimePoint now) const
{
    const double reported = m_reportedLoad * decayFactor(now - m_reportedAt, reportHalfLife);
    // The reported load includes this coordinator's own attempts, so the two must not be added.
    return std::max(reported, pendingAttempts(now));
}

double ServerLoad::cap(int unreportedCap) const
{
    return std::max(1, m_reportedCap > 0 ? m_reportedCap : unreportedCap);
}

std::optional<double> ServerLoad::meanBusy() const
{
    if (m_busyMilliseconds.sampleCount() == 0)
        return std::nullopt;
    return m_busyMilliseconds.value();
}

double ServerLoad::pendingAttempts(TimePoint now) const
{
    return m_pendingAttempts * decayFactor(now - m_pendingAt, pendingHalfLife);
}

}
