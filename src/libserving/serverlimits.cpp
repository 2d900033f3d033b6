#include "libserving/serverlimits.h"

#include <algorithm>

namespace Apricot {

ServerLimits::ServerLimits(ServerLimitsOptions options)
    : m_options(options)
{
}

LimitChange ServerLimits::record(const ServerStart& server, const LimitEvidence& evidence, TimePoint now)
{
    removeEnded(now);
    auto entry = m_entries.find(server.server);
    if (entry != m_entries.end() && entry->second.startedAt != server.startedAt) {
        if (server.startedAt < entry->second.startedAt)
            return LimitChange::None;
        m_inForce -= entry->second.evidence.limit ? 1 : 0;
        m_entries.erase(entry);
        entry = m_entries.end();
    }
    if (entry == m_entries.end()) {
        if (!evidence.limit)
            return LimitChange::None;
        m_entries[server.server] = { .startedAt = server.startedAt, .evidence = evidence };
        ++m_inForce;
        return LimitChange::Named;
    }
    LimitEvidence& known = entry->second.evidence;
    if (evidence.sentAt < known.sentAt)
        return LimitChange::None;
    const std::optional<double> previous = std::exchange(known, evidence).limit;
    if (previous == evidence.limit)
        return LimitChange::None;
    entry->second.refusedUntil = {};
    if (previous && evidence.limit)
        return LimitChange::Changed;
    m_inForce += evidence.limit ? 1 : -1;
    return evidence.limit ? LimitChange::Named : LimitChange::Ended;
}

void ServerLimits::removeEnded(TimePoint now)
{
    if (m_entries.size() == m_inForce || now < m_nextRemovalAt)
        return;
    m_nextRemovalAt = now + m_options.endedLifetime;
    std::erase_if(m_entries, [&](const auto& entry) {
        const LimitEvidence& known = entry.second.evidence;
        return !known.limit && known.sentAt + m_options.endedLifetime < now;
    });
}

const ServerLimits::Entry* ServerLimits::findEntry(const ServerStart& server) const
{
    const auto entry = m_entries.find(server.server);
    return entry == m_entries.end() || entry->second.startedAt != server.startedAt ? nullptr : &entry->second;
}

const LimitEvidence* ServerLimits::find(const ServerStart& server) const
{
    const LimitEvidence* evidence = latest(server);
    return evidence && evidence->limit ? evidence : nullptr;
}

const LimitEvidence* ServerLimits::latest(const ServerStart& server) const
{
    const Entry* entry = findEntry(server);
    return entry ? &entry->evidence : nullptr;
}

ServerLimits::Entry* ServerLimits::refill(const ServerStart& server, double share, TimePoint now)
{
    if (!find(server))
        return nullptr;
    Entry& entry = m_entries.at(server.server);
    const double trialRate = 1 / std::chrono::duration<double>(m_options.trialInterval).count();
    entry.permits.setRate(std::max(*entry.evidence.limit, trialRate) * share, now);
    return &entry;
}

bool ServerLimits::tryAcquire(const ServerStart& server, double share, TimePoint now)
{
    Entry* entry = refill(server, share, now);
    return !entry || entry->permits.tryAcquire(1, 1, now);
}

TimePoint ServerLimits::nextPermitAt(const ServerStart& server, double share, TimePoint now)
{
    const Entry* entry = refill(server, share, now);
    return entry ? now + entry->permits.timeUntil(1, now) : now;
}

void ServerLimits::recordRefusal(const ServerStart& server, TimePoint until, TimePoint now)
{
    if (find(server))
        m_entries.at(server.server).refusedUntil = std::min(until, now + m_options.maxRefusalTime);
}

TimePoint ServerLimits::refusedUntil(const ServerStart& server) const
{
    const Entry* entry = findEntry(server);
    return entry ? entry->refusedUntil : TimePoint {};
}

void ServerLimits::retain(const std::set<BackendServerId>& listed)
{
    std::erase_if(m_entries, [&](const auto& entry) {
        const bool isRemoved = !listed.contains(entry.first);
        m_inForce -= isRemoved && entry.second.evidence.limit ? 1 : 0;
        return isRemoved;
    });
}

}
