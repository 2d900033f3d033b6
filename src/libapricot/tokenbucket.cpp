#include "libapricot/tokenbucket.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr Duration burstTime = std::chrono::seconds(1);

    double inSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}

void TokenBucket::setRate(double rate, TimePoint now)
{
    m_level = levelAt(now);
    m_updatedAt = now;
    m_rate = rate;
    m_level = std::min(m_level, std::max(1.0, m_rate * inSeconds(burstTime)));
}

bool TokenBucket::tryAcquire(double amount, double minLevel, TimePoint now)
{
    m_level = levelAt(now);
    m_updatedAt = now;
    if (m_level < minLevel)
        return false;
    m_level -= amount;
    return true;
}

void TokenBucket::adjust(double amount, TimePoint now)
{
    m_level = levelAt(now) + amount;
    m_updatedAt = now;
}

Duration TokenBucket::timeUntil(double level, TimePoint now) const
{
    const double missing = level - levelAt(now);
    if (missing <= 0)
        return Duration::zero();
    constexpr double maxSeconds = 3600;
    const double wait = m_rate > 0 ? std::min(maxSeconds, missing / m_rate) : maxSeconds;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

double TokenBucket::levelAt(TimePoint now) const
{
    const double filled = m_level + m_rate * std::max(0.0, inSeconds(now - m_updatedAt));
    return std::min(filled, std::max(1.0, m_rate * inSeconds(burstTime)));
}

}
