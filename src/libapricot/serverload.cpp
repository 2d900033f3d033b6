#include "libapricot/serverload.h"

#include <algorithm>

namespace Apricot {

void ServerLoad::attemptChosen(TimePoint now)
{
    m_pending = pending(now) + 1;
    m_pendingAt = now;
}

void ServerLoad::attemptEnded(const StageOutcome& outcome, TimePoint now)
{
    m_pending = std::max(0.0, pending(now) - 1);
    m_pendingAt = now;
    if (outcome.cap > 0) {
        m_reportedLoad = outcome.load;
        m_reportedCap = outcome.cap;
        m_reportedAt = now;
    }
    if (outcome.end == StageEnd::Rejected)
        m_backOffUntil = now + outcome.retryAfter;
    if (outcome.end == StageEnd::Finished)
        m_busy.add(static_cast<double>(outcome.busy.count()));
}

double ServerLoad::load(TimePoint now) const
{
    const double reported = m_reportedLoad * decayFactor(now - m_reportedAt, reportHalfLife);
    // The report counts this coordinator's attempts too, so the larger of the two is the estimate.
    return std::max(reported, pending(now));
}

double ServerLoad::cap(int unreportedCap) const
{
    return std::max(1, m_reportedCap > 0 ? m_reportedCap : unreportedCap);
}

std::optional<double> ServerLoad::meanBusy() const
{
    if (m_busy.samples() == 0)
        return std::nullopt;
    return m_busy.value();
}

double ServerLoad::pending(TimePoint now) const
{
    return m_pending * decayFactor(now - m_pendingAt, pendingHalfLife);
}

}
