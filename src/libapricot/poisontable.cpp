#include "libapricot/poisontable.h"

#include <algorithm>

namespace Apricot {

std::optional<PoisonState> PoisonTable::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.until <= now)
        return std::nullopt;
    return found->second.state;
}

Milliseconds PoisonTable::remaining(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.until <= now)
        return Milliseconds(0);
    return std::chrono::ceil<Milliseconds>(found->second.until - now);
}

PoisonNotice PoisonTable::recordCrash(Fingerprint fingerprint, bool alone, TimePoint now)
{
    const bool refused = alone || stateOf(fingerprint, now) == PoisonState::Refused;
    const PoisonState state = refused ? PoisonState::Refused : PoisonState::Suspect;
    const Milliseconds time = refused ? m_options.refusedTime : m_options.suspectTime;
    put(fingerprint, Entry { .state = state, .until = now + time }, now);
    return PoisonNotice { .fingerprint = fingerprint, .state = state, .remaining = time };
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
    const Milliseconds remaining = std::min(notice.remaining, m_options.refusedTime);
    put(notice.fingerprint, Entry { .state = notice.state, .until = now + remaining }, now);
}

void PoisonTable::put(Fingerprint fingerprint, Entry entry, TimePoint now)
{
    if (m_entries.size() >= m_options.entryLimit)
        std::erase_if(m_entries, [now](const auto& known) { return known.second.until <= now; });
    if (m_entries.size() >= m_options.entryLimit)
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& left, const auto& right) {
                return left.second.until < right.second.until;
            }));
    m_entries[fingerprint] = entry;
}

}
