#include "libserving/serverrests.h"

#include <algorithm>

namespace Apricot {

ServerRests::ServerRests(ServerRestsOptions options)
    : m_options(options)
{
}

bool ServerRests::record(const ServerStart& server, Duration rest, TimePoint now)
{
    const auto [entry, isNew] = m_rests.try_emplace(server.server, Rest { server.startedAt });
    if (server.startedAt < entry->second.startedAt)
        return false;
    if (entry->second.startedAt != server.startedAt)
        entry->second = { server.startedAt };
    const TimePoint until = now + std::min<Duration>(rest, m_options.maxRest);
    if (until <= entry->second.until)
        return false;
    entry->second.until = until;
    return true;
}

TimePoint ServerRests::restsUntil(const ServerStart& server) const
{
    const auto entry = m_rests.find(server.server);
    return entry == m_rests.end() || entry->second.startedAt != server.startedAt ? TimePoint {}
                                                                                 : entry->second.until;
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
    return static_cast<std::size_t>(std::count_if(
        m_rests.begin(), m_rests.end(), [now](const auto& entry) { return now < entry.second.until; }));
}

void ServerRests::retain(const std::set<BackendServerId>& listed, TimePoint now)
{
    std::erase_if(m_rests, [&](const auto& entry) {
        return !listed.contains(entry.first) || entry.second.until + m_options.rampTime < now;
    });
}

}
