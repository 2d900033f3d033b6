#include "libapricot/poisontable.h"

#include <algorithm>

namespace Apricot {

std::optional<PoisonState> PoisonTable::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return std::nullopt;
    return found->second.state;
}

Milliseconds PoisonTable::remaining(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return Milliseconds(0);
    return std::chrono::ceil<Milliseconds>(found->second.expiresAt - now);
}

PoisonNotice PoisonTable::recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now)
{
    const bool isRefused = ranAlone || stateOf(fingerprint, now) == PoisonState::Refused;
    const PoisonState state = isRefused ? PoisonState::Refused : PoisonState::Suspect;
    const Milliseconds lifetime = isRefused ? m_options.refusedLifetime : m_options.suspectLifetime;
    insert(fingerprint, Entry { .state = state, .expiresAt = now + lifetime }, now);
    return PoisonNotice { .fingerprint = fingerprint, .state = state, .remaining = lifetime };
}

bool PoisonTable::recordFinish(Fingerprint fingerprint, TimePoint now)
{
    if (stateOf(fingerprint, now) != PoisonState::Suspect)
        return false;
    m_entries.erase(fingerprint);
    return true;
}

void PoisonTable::apply(const PoisonNotice& notice, TimePoint now)
{
    const std::optional<PoisonState> known = stateOf(notice.fingerprint, now);
    if (known == PoisonState::Refused && notice.state == PoisonState::Suspect)
        return;
    const Milliseconds remaining = std::min(notice.remaining, m_options.refusedLifetime);
    insert(notice.fingerprint, Entry { .state = notice.state, .expiresAt = now + remaining }, now);
}

void PoisonTable::insert(Fingerprint fingerprint, Entry entry, TimePoint now)
{
    if (m_entries.size() >= m_options.maxEntries)
        std::erase_if(m_entries, [now](const auto& known) { return known.second.expiresAt <= now; });
    if (m_entries.size() >= m_options.maxEntries)
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& left, const auto& right) {
                return left.second.expiresAt < right.second.expiresAt;
            }));
    m_entries[fingerprint] = entry;
}

}
