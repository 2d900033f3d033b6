#include "libapricot/poisontable.h"

#include "libapricot/crashattribution.h"

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
    const std::size_t crashes = entry.part.empty() ? crashCount(entry) : entry.attributed;
    if (entry.state == PoisonState::Refused || crashes >= m_options.refusedCrashes)
        return PoisonState::Refused;
    if (entry.state == PoisonState::Suspect || crashes >= m_options.suspectCrashes)
        return PoisonState::Suspect;
    return std::nullopt;
}

bool PoisonTable::hasSuspectCrashes(const Entry& entry) const
{
    return entry.state || crashCount(entry) >= m_options.suspectCrashes;
}

std::set<ServerCrash> PoisonTable::countedCrashes(const Entry& entry)
{
    std::set<ServerCrash> crashes;
    for (const auto& [crash, isCleared] : entry.crashes) {
        if (!isCleared)
            crashes.insert(crash);
    }
    return crashes;
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

void PoisonTable::updateState(Fingerprint fingerprint, Entry& entry, TimePoint now)
{
    const std::optional<PoisonState> state = stateOf(entry);
    if (state != PoisonState::Refused)
        entry.refusedSince.reset();
    else if (!entry.refusedSince)
        entry.refusedSince = now;
    if (std::exchange(entry.reported, state) != state)
        m_changes.push_back({ { fingerprint, entry.part }, state, crashCount(entry) });
}

void PoisonTable::updateParts(TimePoint now)
{
    std::vector<CrashSuspect> suspects;
    std::vector<std::set<ServerCrash>> refusedRequests;
    for (auto& [fingerprint, entry] : m_entries) {
        if (entry.expiresAt <= now)
            continue;
        if (entry.part.empty() && stateOf(entry) == PoisonState::Refused)
            refusedRequests.push_back(countedCrashes(entry));
        if (entry.part.empty())
            continue;
        entry.attributed = 0;
        if (!hasSuspectCrashes(entry)) {
            updateState(fingerprint, entry, now);
            continue;
        }
        const auto finished = m_finishedParts.find(fingerprint);
        CrashSuspect suspect { .fingerprint = fingerprint, .crashes = countedCrashes(entry) };
        suspect.isRefused = entry.refusedSince && suspect.crashes.size() >= m_options.refusedCrashes;
        if (finished != m_finishedParts.end())
            suspect.finishedAt = finished->second;
        suspects.push_back(std::move(suspect));
    }
    const auto attributed = attributeCrashes(
        std::move(suspects), refusedRequests, { .minCrashes = m_options.suspectCrashes });
    for (const auto& [fingerprint, crashes] : attributed) {
        Entry& entry = m_entries.at(fingerprint);
        entry.attributed = crashes;
        updateState(fingerprint, entry, now);
    }
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

std::size_t PoisonTable::count(PoisonState state, bool isPart, TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [&](const auto& known) {
            return known.second.part.empty() != isPart && known.second.expiresAt > now
                && stateOf(known.second) == state;
        }));
}

PoisonNotice PoisonTable::recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now)
{
    const bool isRefused = ranAlone || stateOf(fingerprint, now) == PoisonState::Refused;
    const Milliseconds lifetime = isRefused ? m_options.refusedLifetime : m_options.suspectLifetime;
    Entry& entry = findOrInsert({ fingerprint }, now);
    entry.state = isRefused ? PoisonState::Refused : PoisonState::Suspect;
    entry.expiresAt = now + lifetime;
    return { .fingerprint = fingerprint, .state = *entry.state, .remaining = lifetime };
}

std::vector<Fingerprint> PoisonTable::recordCrash(const std::vector<PoisonSubject>& subjects,
    const ServerCrash& crash, bool clearsParts, TimePoint now)
{
    std::vector<Fingerprint> changed;
    for (const PoisonSubject& subject : subjects) {
        Entry& entry = findOrInsert(subject, now);
        if (!addCrash(entry, crash, clearsParts && subject.isPart(), now))
            continue;
        entry.expiresAt = now + m_options.refusedLifetime;
        updateState(subject.fingerprint, entry, now);
        changed.push_back(subject.fingerprint);
    }
    if (!changed.empty())
        updateParts(now);
    return changed;
}

bool PoisonTable::recordFinish(Fingerprint fingerprint, TimePoint now)
{
    if (stateOf(fingerprint, now) != PoisonState::Suspect)
        return false;
    m_entries.erase(fingerprint);
    return true;
}

std::vector<Fingerprint> PoisonTable::recordFinish(
    const std::vector<PoisonSubject>& subjects, int stage, TimePoint now)
{
    std::vector<Fingerprint> changed;
    for (const PoisonSubject& subject : subjects) {
        if (subject.isPart())
            recordPartFinish(subject.fingerprint, now);
        const auto found = m_entries.find(subject.fingerprint);
        if (found == m_entries.end() || found->second.expiresAt <= now)
            continue;
        Entry& entry = found->second;
        const bool isNews = hasSuspectCrashes(entry);
        for (auto& [crash, isCleared] : entry.crashes) {
            // The stages of a request that has finished have finished before it.
            if (crash.stage == stage || stage == ServerCrash::requestStage)
                isCleared = true;
        }
        if (!isNews)
            continue;
        updateState(subject.fingerprint, entry, now);
        changed.push_back(subject.fingerprint);
    }
    if (!changed.empty())
        updateParts(now);
    return changed;
}

void PoisonTable::recordPartFinish(Fingerprint part, TimePoint now)
{
    m_finishedParts[part] = now;
    if (m_finishedParts.size() <= m_options.maxFinishedParts)
        return;
    std::vector<TimePoint> times;
    for (const auto& [known, finishedAt] : m_finishedParts)
        times.push_back(finishedAt);
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    std::erase_if(m_finishedParts, [&](const auto& known) { return known.second < *middle; });
}

std::vector<Fingerprint> PoisonTable::withdrawCrash(
    const std::vector<PoisonSubject>& subjects, const ServerCrash& crash, TimePoint now)
{
    std::vector<Fingerprint> changed;
    for (const PoisonSubject& subject : subjects) {
        const auto found = m_entries.find(subject.fingerprint);
        if (found == m_entries.end() || found->second.expiresAt <= now)
            continue;
        const auto known = found->second.crashes.find(crash);
        if (known == found->second.crashes.end() || std::exchange(known->second, true))
            continue;
        updateState(subject.fingerprint, found->second, now);
        changed.push_back(subject.fingerprint);
    }
    if (!changed.empty())
        updateParts(now);
    return changed;
}

void PoisonTable::apply(const PoisonNotice& notice, TimePoint now)
{
    apply(std::vector { notice }, now);
}

void PoisonTable::apply(const std::vector<PoisonNotice>& notices, TimePoint now)
{
    bool hasChanged = false;
    for (const PoisonNotice& notice : notices)
        hasChanged = applyOne(notice, now) || hasChanged;
    if (hasChanged)
        updateParts(now);
}

bool PoisonTable::applyOne(const PoisonNotice& notice, TimePoint now)
{
    Entry& entry = findOrInsert(notice.subject(), now);
    bool isNew = false;
    for (const ServerCrash& crash : notice.crashes)
        isNew = addCrash(entry, crash, false, now) || isNew;
    for (const ServerCrash& crash : notice.cleared)
        isNew = addCrash(entry, crash, true, now) || isNew;
    const bool isCounted = !notice.crashes.empty() || !notice.cleared.empty();
    if (isCounted && !isNew)
        return false;
    if (!isCounted && entry.state == PoisonState::Refused && notice.state == PoisonState::Suspect)
        return false;
    if (!isCounted)
        entry.state = notice.state;
    entry.expiresAt = now + std::min(notice.remaining, m_options.refusedLifetime);
    if (isCounted)
        updateState(notice.fingerprint, entry, now);
    return isCounted;
}

bool PoisonTable::addCrash(Entry& entry, const ServerCrash& crash, bool isCleared, TimePoint now) const
{
    const auto known = entry.crashes.find(crash);
    if (known != entry.crashes.end())
        return isCleared && !std::exchange(known->second, true);
    if (entry.crashes.size() >= m_options.maxCrashes && !removeOldestCleared(entry.crashes))
        return false;
    entry.crashes.emplace(crash, isCleared);
    (crash.stage == ServerCrash::probationStage ? entry.probationAt : entry.crashedAt) = now;
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
        .remaining = std::chrono::ceil<Milliseconds>(entry.expiresAt - now),
        .part = entry.part };
    for (const auto& [crash, isCleared] : entry.crashes)
        (isCleared ? notice.cleared : notice.crashes).push_back(crash);
    return notice;
}

PoisonTable::Entry& PoisonTable::findOrInsert(const PoisonSubject& subject, TimePoint now)
{
    auto found = m_entries.find(subject.fingerprint);
    if (found == m_entries.end()) {
        makeRoom(now);
        found = m_entries.emplace(subject.fingerprint, Entry()).first;
    } else if (found->second.expiresAt <= now) {
        found->second = {};
    }
    if (subject.isPart())
        found->second.part = subject.part;
    return found->second;
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
