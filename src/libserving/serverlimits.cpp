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
    if (!evidence.limit && !m_entries.find(server)) {
        m_entries.removeEarlier(server);
        return LimitChange::None;
    }
    Entry* entry = m_entries.findOrAdd(server);
    if (!entry || evidence.sentAt < entry->evidence.sentAt)
        return LimitChange::None;
    const std::optional<double> previous = std::exchange(entry->evidence, evidence).limit;
    if (previous == evidence.limit)
        return LimitChange::None;
    entry->refusedUntil = {};
    if (previous && evidence.limit)
        return LimitChange::Changed;
    return evidence.limit ? LimitChange::Named : LimitChange::Ended;
}

void ServerLimits::removeEnded(TimePoint now)
{
    if (now < m_nextRemovalAt)
        return;
    m_nextRemovalAt = now + m_options.endedLifetime;
    m_entries.eraseIf([&](const Entry& entry) {
        return !entry.evidence.limit && entry.evidence.sentAt + m_options.endedLifetime < now;
    });
}

const LimitEvidence* ServerLimits::find(const ServerStart& server) const
{
    const LimitEvidence* evidence = latest(server);
    return evidence && evidence->limit ? evidence : nullptr;
}

const LimitEvidence* ServerLimits::latest(const ServerStart& server) const
{
    const Entry* entry = m_entries.find(server);
    return entry ? &entry->evidence : nullptr;
}

ServerLimits::Entry* ServerLimits::refill(const ServerStart& server, double share, TimePoint now)
{
    if (!find(server))
        return nullptr;
    Entry* entry = m_entries.find(server);
    const double trialRate = 1 / std::chrono::duration<double>(m_options.trialInterval).count();
    entry->permits.setRate(std::max(*entry->evidence.limit, trialRate) * share, now);
    return entry;
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
        m_entries.find(server)->refusedUntil = std::min(until, now + m_options.maxRefusalTime);
}

TimePoint ServerLimits::refusedUntil(const ServerStart& server) const
{
    const Entry* entry = m_entries.find(server);
    return entry ? entry->refusedUntil : TimePoint {};
}

}
