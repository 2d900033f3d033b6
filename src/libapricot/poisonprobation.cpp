#include "libapricot/poisontable.h"

#include <algorithm>
#include <iterator>

// Which requests PoisonTable allows to run, and the probation of those that it refuses.
namespace Apricot {

namespace {

    // Numbers of the probation runs of a subject, alone and with others.
    constexpr std::int64_t firstProbation = 0;
    constexpr std::int64_t secondProbation = 1;
    constexpr std::int64_t jointProbation = 2;

    // Marks a probation run, by its number, among the crashes of an entry.
    ServerCrash probationRun(std::int64_t number)
    {
        return { .startedAt = number, .stage = ServerCrash::probationStage };
    }

}

bool PoisonTable::mayRun(const std::vector<PoisonSubject>& subjects,
    const std::vector<PoisonSubject>& probation, int earlierRuns, TimePoint now) const
{
    return std::all_of(subjects.begin(), subjects.end(), [&](const PoisonSubject& subject) {
        const std::optional<PoisonState> state = stateOf(subject.fingerprint, now);
        const bool isOnProbation = std::find(probation.begin(), probation.end(), subject) != probation.end();
        return !state || (earlierRuns == 0 && (state == PoisonState::Suspect || isOnProbation));
    });
}

std::vector<PoisonSubject> PoisonTable::refusedOf(
    const std::vector<PoisonSubject>& subjects, TimePoint now) const
{
    std::vector<PoisonSubject> refused;
    std::copy_if(subjects.begin(), subjects.end(), std::back_inserter(refused),
        [&](const PoisonSubject& subject) { return isRefused(subject.fingerprint, now); });
    return refused;
}

TimePoint PoisonTable::nextProbation(const Entry& entry, bool isJoint) const
{
    if (isJoint)
        return entry.crashes.contains(probationRun(jointProbation))
            ? entry.expiresAt
            : *entry.refusedSince + m_options.jointProbationDelay;
    if (!entry.crashes.contains(probationRun(firstProbation)))
        return *entry.refusedSince + m_options.probationDelay;
    if (!entry.crashes.contains(probationRun(secondProbation)) && entry.crashedAt <= entry.probationAt)
        return entry.probationAt + m_options.secondProbationDelay;
    return entry.expiresAt;
}

bool PoisonTable::canStartProbation(const std::vector<PoisonSubject>& refused, TimePoint now) const
{
    return std::all_of(refused.begin(), refused.end(), [&](const PoisonSubject& subject) {
        const Entry* entry = find(subject.fingerprint, now);
        return entry && entry->refusedSince && nextProbation(*entry, refused.size() > 1) <= now;
    });
}

Milliseconds PoisonTable::retryAfter(const std::vector<PoisonSubject>& subjects, TimePoint now) const
{
    Milliseconds longest = m_options.minRetryAfter;
    const std::vector<PoisonSubject> refused = refusedOf(subjects, now);
    for (const PoisonSubject& subject : refused) {
        const Entry* entry = find(subject.fingerprint, now);
        if (entry && entry->refusedSince)
            longest = std::max(longest,
                std::chrono::ceil<Milliseconds>(nextProbation(*entry, refused.size() > 1) - now));
    }
    return longest;
}

void PoisonTable::startProbation(const std::vector<PoisonSubject>& refused, TimePoint now)
{
    for (const PoisonSubject& subject : refused) {
        const auto found = m_entries.find(subject.fingerprint);
        if (found == m_entries.end())
            continue;
        std::int64_t number = jointProbation;
        if (refused.size() == 1)
            number = found->second.crashes.contains(probationRun(firstProbation)) ? secondProbation : firstProbation;
        addCrash(found->second, probationRun(number), true, now);
    }
}

}
