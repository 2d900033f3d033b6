#include "libapricot/poisontable.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

    // Removes the cleared crash of the server that started first. Returns false if none is cleared.
    bool removeOldestCleared(std::map<ServerCrash, bool>& crashes)
    {
        auto oldest = crashes.end();
        for (auto crash = crashes.begin(); crash != crashes.end(); ++crash) {
            const bool isRemovable = crash->second && crash->first.stage != ServerCrash::probationStage;
            if (isRemovable
                && (oldest == crashes.end() || crash->first.startedAt < oldest->first.startedAt))
                oldest = crash;
        }
        if (oldest == crashes.end())
            return false;
        crashes.erase(oldest);
        return true;
    }

}

std::string_view poisonStateName(std::optional<PoisonState> state)
{
    if (!state)
        return "none";
    return state == PoisonState::Refused ? "refused" : "suspect";
}

const PoisonTable::Entry* PoisonTable::find(Fingerprint fingerprint, TimePoint now) const
{
    const auto found = m_entries.find(fingerprint);
    return found == m_entries.end() || found->second.expiresAt <= now ? nullptr : &found->second;
}

std::size_t PoisonTable::crashCount(const Entry& entry)
{
    return static_cast<std::size_t>(std::count_if(entry.crashes.begin(), entry.crashes.end(),
        [](const auto& crash) { return !crash.second; }));
}

std::optional<PoisonState> PoisonTable::stateOf(const Entry& entry) const
{
    const std::size_t crashes = crashCount(entry);
    if (entry.state == PoisonState::Refused || crashes >= m_options.refusedCrashes)
        return PoisonState::Refused;
    if (entry.state == PoisonState::Suspect || crashes >= m_options.suspectCrashes)
        return PoisonState::Suspect;
    return std::nullopt;
}

std::optional<PoisonState> PoisonTable::stateOf(Fingerprint fingerprint, TimePoint now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry ? stateOf(*entry) : std::nullopt;
}

bool PoisonTable::isRefused(Fingerprint fingerprint, TimePoint now) const
{
    return stateOf(fingerprint, now) == PoisonState::Refused;
}

bool PoisonTable::mayRun(
    Fingerprint fingerprint, bool isProbation, int earlierRuns, TimePoint now) const
{
    const std::optional<PoisonState> state = stateOf(fingerprint, now);
    return !state || (earlierRuns == 0 && (state == PoisonState::Suspect || isProbation));
}

bool PoisonTable::canStartProbation(Fingerprint fingerprint, TimePoint now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry && entry->refusedSince && *entry->refusedSince + m_options.probationDelay <= now
        && !entry->crashes.contains({ .stage = ServerCrash::probationStage });
}

void PoisonTable::startProbation(Fingerprint fingerprint, TimePoint now)
{
    findOrInsert(fingerprint, now).crashes[{ .stage = ServerCrash::probationStage }] = true;
}

void PoisonTable::updateRefusedSince(Entry& entry, TimePoint now) const
{
    if (stateOf(entry) != PoisonState::Refused)
        entry.refusedSince.reset();
    else if (!entry.refusedSince)
        entry.refusedSince = now;
}

Milliseconds PoisonTable::remaining(Fingerprint fingerprint, TimePoint now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry ? std::chrono::ceil<Milliseconds>(entry->expiresAt - now) : Milliseconds(0);
}

std::size_t PoisonTable::crashCount(Fingerprint fingerprint, TimePoint now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry ? crashCount(*entry) : 0;
}

std::size_t PoisonTable::count(PoisonState state, TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& known) {
            return known.second.expiresAt > now && stateOf(known.second) == state;
        }));
}

PoisonNotice PoisonTable::recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now)
{
    const bool isRefused = ranAlone || stateOf(fingerprint, now) == PoisonState::Refused;
    const Milliseconds lifetime = isRefused ? m_options.refusedLifetime : m_options.suspectLifetime;
    Entry& entry = findOrInsert(fingerprint, now);
    entry.state = isRefused ? PoisonState::Refused : PoisonState::Suspect;
    entry.expiresAt = now + lifetime;
    return { .fingerprint = fingerprint, .state = *entry.state, .remaining = lifetime };
}

std::optional<PoisonNotice> PoisonTable::recordCrash(
    Fingerprint fingerprint, const ServerCrash& crash, TimePoint now)
{
    Entry& entry = findOrInsert(fingerprint, now);
    if (!addCrash(entry, crash, false))
        return std::nullopt;
    entry.expiresAt = now + m_options.refusedLifetime;
    updateRefusedSince(entry, now);
    return noticeOf(fingerprint, entry, now);
}

bool PoisonTable::recordFinish(Fingerprint fingerprint, TimePoint now)
{
    if (stateOf(fingerprint, now) != PoisonState::Suspect)
        return false;
    m_entries.erase(fingerprint);
    return true;
}

std::optional<PoisonNotice> PoisonTable::recordFinish(Fingerprint fingerprint, int stage, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return std::nullopt;
    Entry& entry = found->second;
    const bool wasSuspect = stateOf(entry).has_value();
    for (auto& [crash, isCleared] : entry.crashes) {
        // The stages of a request that has finished have finished before it.
        if (crash.stage == stage || stage == ServerCrash::requestStage)
            isCleared = true;
    }
    updateRefusedSince(entry, now);
    if (!wasSuspect)
        return std::nullopt;
    return noticeOf(fingerprint, entry, now);
}

std::optional<PoisonNotice> PoisonTable::withdrawCrash(
    Fingerprint fingerprint, const ServerCrash& crash, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found == m_entries.end() || found->second.expiresAt <= now)
        return std::nullopt;
    const auto known = found->second.crashes.find(crash);
    if (known == found->second.crashes.end() || std::exchange(known->second, true))
        return std::nullopt;
    updateRefusedSince(found->second, now);
    return noticeOf(fingerprint, found->second, now);
}

void PoisonTable::apply(const PoisonNotice& notice, TimePoint now)
{
    Entry& entry = findOrInsert(notice.fingerprint, now);
    bool isNew = false;
    for (const ServerCrash& crash : notice.crashes)
        isNew = addCrash(entry, crash, false) || isNew;
    for (const ServerCrash& crash : notice.cleared)
        isNew = addCrash(entry, crash, true) || isNew;
    const bool isCounted = !notice.crashes.empty() || !notice.cleared.empty();
    if (isCounted && !isNew)
        return;
    updateRefusedSince(entry, now);
    if (!isCounted && entry.state == PoisonState::Refused && notice.state == PoisonState::Suspect)
        return;
    if (!isCounted)
        entry.state = notice.state;
    entry.expiresAt = now + std::min(notice.remaining, m_options.refusedLifetime);
}

bool PoisonTable::addCrash(Entry& entry, const ServerCrash& crash, bool isCleared) const
{
    const auto known = entry.crashes.find(crash);
    if (known != entry.crashes.end())
        return isCleared && !std::exchange(known->second, true);
    if (entry.crashes.size() >= m_options.maxCrashes && !removeOldestCleared(entry.crashes))
        return false;
    entry.crashes.emplace(crash, isCleared);
    return true;
}

std::optional<PoisonNotice> PoisonTable::noticeOf(Fingerprint fingerprint, TimePoint now) const
{
    const Entry* entry = find(fingerprint, now);
    return entry ? std::optional(noticeOf(fingerprint, *entry, now)) : std::nullopt;
}

PoisonNotice PoisonTable::noticeOf(Fingerprint fingerprint, const Entry& entry, TimePoint now) const
{
    PoisonNotice notice { .fingerprint = fingerprint,
        .state = stateOf(entry).value_or(PoisonState::Suspect),
        .remaining = std::chrono::ceil<Milliseconds>(entry.expiresAt - now) };
    for (const auto& [crash, isCleared] : entry.crashes)
        (isCleared ? notice.cleared : notice.crashes).push_back(crash);
    return notice;
}

PoisonTable::Entry& PoisonTable::findOrInsert(Fingerprint fingerprint, TimePoint now)
{
    const auto found = m_entries.find(fingerprint);
    if (found != m_entries.end()) {
        if (found->second.expiresAt <= now)
            found->second = {};
        return found->second;
    }
    makeRoom(now);
    return m_entries[fingerprint];
}

void PoisonTable::makeRoom(TimePoint now)
{
    if (m_entries.size() >= m_options.maxEntries)
        std::erase_if(m_entries, [now](const auto& known) { return known.second.expiresAt <= now; });
    if (m_entries.size() >= m_options.maxEntries)
        m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(),
            [](const auto& left, const auto& right) {
                return left.second.expiresAt < right.second.expiresAt;
            }));
}

}
