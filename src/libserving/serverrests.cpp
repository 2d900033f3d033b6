#include "libserving/serverrests.h"

#include <algorithm>

namespace Apricot {

ServerRests::ServerRests(ServerRestsOptions options)
    : m_options(options)
{
}

bool ServerRests::record(const ServerStart& server, Duration rest, TimePoint now)
{
    TimePoint* known = m_restsUntil.findOrAdd(server);
    const TimePoint until = now + std::min<Duration>(rest, m_options.maxRest);
    if (!known || until <= *known)
        return false;
    *known = until;
    return true;
}

TimePoint ServerRests::restsUntil(const ServerStart& server) const
{
    const TimePoint* until = m_restsUntil.find(server);
    return until ? *until : TimePoint {};
}

bool ServerRests::mayReceive(const ServerStart& server, int inFlight, TimePoint now) const
{
    const TimePoint until = restsUntil(server);
    if (now < until)
        return false;
    const Duration rested = now - until;
    if (until == TimePoint {} || rested >= m_options.rampTime)
        return true;
    const double share = inMilliseconds(rested) / inMilliseconds(m_options.rampTime);
    return inFlight < 1 + static_cast<int>(share * m_options.rampedInFlight);
}

std::size_t ServerRests::count(TimePoint now) const
{
    return m_restsUntil.count([now](TimePoint until) { return now < until; });
}

void ServerRests::retain(const std::set<BackendServerId>& listed, TimePoint now)
{
    m_restsUntil.retain(listed);
    m_restsUntil.eraseIf([&](TimePoint until) { return until + m_options.rampTime < now; });
}

}
