#include "emulator/platform/ratelimit.h"

#include <algorithm>

namespace Apricot {

RateLimit::RateLimit(double callsPerSecond, TimePoint now)
    : m_callsPerSecond(callsPerSecond)
    , m_tokens(callsPerSecond)
    , m_refilledAt(now)
{
}

bool RateLimit::tryAcquire(TimePoint now)
{
    if (m_callsPerSecond <= 0)
        return true;
    const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
    m_tokens = std::min(m_callsPerSecond, m_tokens + seconds * m_callsPerSecond);
    m_refilledAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

}
