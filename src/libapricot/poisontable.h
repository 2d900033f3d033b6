#pragma once

#include "libapricot/clock.h"
#include "libapricot/servercrash.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Apricot {

enum class PoisonState {
    // May crash servers. Runs alone until it has finished once.
    Suspect,
    // Crashes the servers that run it; refused.
    Refused,
};

// Name of a state for logs; "none" without one.
std::string_view poisonStateName(std::optional<PoisonState> state);

// State of a fingerprint, sent to the other members.
struct PoisonNotice {
    Fingerprint fingerprint = 0;
    PoisonState state = PoisonState::Suspect;
    Milliseconds remaining { 0 };
    // Crashes that count against the fingerprint, and those that no longer do.
    std::vector<ServerCrash> crashes;
    std::vector<ServerCrash> cleared;
    // See PoisonSubject. Members without a gateway know no parts and are sent none.
    std::string part;

    PoisonSubject subject() const { return { fingerprint, part }; }

    auto operator<=>(const PoisonNotice&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(fingerprint, state, remaining, crashes, cleared); }
};

// A subject whose state has changed.
struct PoisonChange {
    PoisonSubject subject;
    std::optional<PoisonState> state;
    // Crashes that count against it.
    std::size_t crashes = 0;

    auto operator<=>(const PoisonChange&) const = default;
};

struct PoisonTableOptions {
    Milliseconds suspectLifetime { 600'000 };
    Milliseconds refusedLifetime { 600'000 };
    std::size_t maxEntries = 10'000;
    // Numbers of crashed servers from which a fingerprint is a suspect and refused, where nothing shows
    // which of the requests on a server crashed it.
    std::size_t suspectCrashes = 2;
    std::size_t refusedCrashes = 3;
    // Time from the refusal of a fingerprint to its probation, in which crashed servers return.
    Milliseconds probationDelay { 4000 };
    // The same for a probation of several subjects.
    Milliseconds jointProbationDelay { 5500 };
    // Time from the first probation to the second one, which is for a first one that proved nothing.
    Milliseconds secondProbationDelay { 20'000 };
    // Crashes that are remembered for one fingerprint.
    std::size_t maxCrashes = 16;
    // Parts whose last finish is remembered.
    std::size_t maxFinishedParts = 4096;
    // Minimum Retry-After of a refusal.
    Milliseconds minRetryAfter { 1000 };
};

// Identifies requests that crash backend servers.
//
// Where the caller of this class knows whether a request ran alone, every request that was in flight on a
// crashed server becomes a suspect and runs alone from then on. Only a crash while it runs alone makes it
// refused; a suspect that finishes is cleared.
//
// Otherwise the crashed servers of a fingerprint are counted. They are sets that only grow, of crashes and
// of cleared crashes, so hosts that exchange notices in any order, several times or after a restart reach
// the same count. A run that finishes clears the crashes of its stage. Servers that crash together for another
// reason may condemn a popular request, so a probation run is allowed after a refusal, on all hosts together.
//
// Parts of prompts are counted in the same way, for requests that share nothing else. A crash counts against each
// part of a request, but is attributed to as few of them as explain it; see attributeCrashes().
class PoisonTable {
public:
    explicit PoisonTable(PoisonTableOptions options = {})
        : m_options(options)
    {
    }

    // State of a fingerprint, or nothing if it has no recent crash.
    std::optional<PoisonState> stateOf(Fingerprint fingerprint, TimePoint now) const;
    bool isRefused(Fingerprint fingerprint, TimePoint now) const;
    // Whether a request with these subjects may be sent after some runs in the same attempt of its caller. A suspect,
    // and one on probation, is not sent again in one attempt, so that it ends no further server before its last run is
    // accounted for.
    bool mayRun(const std::vector<PoisonSubject>& subjects, const std::vector<PoisonSubject>& probation,
        int earlierRuns, TimePoint now) const;
    // Those of the subjects that are refused.
    std::vector<PoisonSubject> refusedOf(const std::vector<PoisonSubject>& subjects, TimePoint now) const;
    // Whether a request may have a probation run now whose subjects include these refused ones. A single one has its
    // first run some time after the refusal, and a second one if the first neither finished nor ended a server. Several
    // together have one run, some time later, because it cannot tell which of them is sound if it ends a server.
    bool canStartProbation(const std::vector<PoisonSubject>& refused, TimePoint now) const;
    // Records that refused subjects have a probation run. The other hosts have to be told, so that they do not allow
    // the same one.
    void startProbation(const std::vector<PoisonSubject>& refused, TimePoint now);
    // Time until the entry of the fingerprint expires; zero without an entry.
    Milliseconds remaining(Fingerprint fingerprint, TimePoint now) const;
    // Time after which a request with these subjects may be served, if some of them are refused.
    Milliseconds retryAfter(const std::vector<PoisonSubject>& subjects, TimePoint now) const;
    // Number of crashes that count against a fingerprint.
    std::size_t crashCount(Fingerprint fingerprint, TimePoint now) const;
    // Records a crash of the server that ran the fingerprint. Returns the notice for the other members.
    PoisonNotice recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now);
    // Records a server that crashed with these subjects on it. The crash does not count against parts if the server
    // had responded with them for so long that they did not end it. Returns the fingerprints for which this is news.
    std::vector<Fingerprint> recordCrash(const std::vector<PoisonSubject>& subjects, const ServerCrash& crash,
        bool clearsParts, TimePoint now);
    // Clears a suspect that has finished. Returns whether the fingerprint was a suspect.
    bool recordFinish(Fingerprint fingerprint, TimePoint now);
    // Clears the crashes of a stage that has finished. Returns the fingerprints for which that matters to the other
    // hosts, because enough crashes counted against them.
    std::vector<Fingerprint> recordFinish(const std::vector<PoisonSubject>& subjects, int stage, TimePoint now);
    // Clears one crash, after the server turned out not to have ended. Returns the fingerprints that it counted
    // against.
    std::vector<Fingerprint> withdrawCrash(
        const std::vector<PoisonSubject>& subjects, const ServerCrash& crash, TimePoint now);
    // What is known of a fingerprint, for other hosts; nothing without an entry.
    std::optional<PoisonNotice> noticeOf(Fingerprint fingerprint, TimePoint now) const;
    // Applies a notice from another member. A notice whose crashes are all known changes no lifetime.
    void apply(const PoisonNotice& notice, TimePoint now);
    void apply(const std::vector<PoisonNotice>& notices, TimePoint now);
    // Returns, once, the subjects whose state has changed by crashes that are counted.
    std::vector<PoisonChange> drainChanges() { return std::exchange(m_changes, {}); }
    std::size_t size() const { return m_entries.size(); }
    // Number of requests or of parts in a state.
    std::size_t count(PoisonState state, bool isPart, TimePoint now) const;

private:
    struct Entry {
        // Set by crashes of requests of which it is known whether they ran alone.
        std::optional<PoisonState> state;
        TimePoint expiresAt {};
        // When the fingerprint was refused, as long as it is.
        std::optional<TimePoint> refusedSince;
        // Crashed servers, and whether they were cleared.
        std::map<ServerCrash, bool> crashes;
        // ID of a part; empty for a request.
        std::string part;
        // Of a part: number of crashes that are attributed to it.
        std::size_t attributed = 0;
        // When this host heard of the last crash, and of the last probation run.
        TimePoint crashedAt {};
        TimePoint probationAt {};
        // State in the last change.
        std::optional<PoisonState> reported;
    };

    std::optional<PoisonState> stateOf(const Entry& entry) const;
    static std::size_t crashCount(const Entry& entry);
    // Whether enough crashes count against an entry to be suspicious, whatever they are attributed to.
    bool hasSuspectCrashes(const Entry& entry) const;
    static std::set<ServerCrash> countedCrashes(const Entry& entry);
    // Attributes the crashes of all parts again.
    void updateParts(TimePoint now);
    // Updates what follows from the crashes that count against an entry.
    void updateState(Fingerprint fingerprint, Entry& entry, TimePoint now);
    // Time of the next probation run of a refused subject, alone or with others, or of the end of its entry if there
    // will be none.
    TimePoint nextProbation(const Entry& entry, bool isJoint) const;
    const Entry* find(Fingerprint fingerprint, TimePoint now) const;
    // The current entry, or a new one in place of an expired one.
    Entry& findOrInsert(const PoisonSubject& subject, TimePoint now);
    // Returns whether the crash or that it was cleared is new.
    bool addCrash(Entry& entry, const ServerCrash& crash, bool isCleared, TimePoint now) const;
    // Applies a notice. Returns whether it was about a part and changed something.
    bool applyOne(const PoisonNotice& notice, TimePoint now);
    void recordPartFinish(Fingerprint part, TimePoint now);
    PoisonNotice noticeOf(Fingerprint fingerprint, const Entry& entry, TimePoint now) const;
    void makeRoom(TimePoint now);

    PoisonTableOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
    // When runs with parts of prompts last finished on this host.
    std::map<Fingerprint, TimePoint> m_finishedParts;
    std::vector<PoisonChange> m_changes;
};

}
