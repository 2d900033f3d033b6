#pragma once

#include "libapricot/clock.h"
#include "libapricot/fingerprint.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
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

// One start of a backend server that ended while it ran a request or a piece of its stages.
struct ServerCrash {
    // Value of `stage` for a server that ran the request itself.
    static constexpr int requestStage = -1;
    // Value of `stage` that marks a probation run instead of a crash; see PoisonTable::startProbation().
    static constexpr int probationStage = -2;

    BackendServerId server;
    // Unix time of the server's start in milliseconds.
    std::int64_t startedAt = 0;
    int stage = requestStage;

    auto operator<=>(const ServerCrash&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(server, startedAt, stage); }
};

// State of a fingerprint, sent to the other members.
struct PoisonNotice {
    Fingerprint fingerprint = 0;
    PoisonState state = PoisonState::Suspect;
    Milliseconds remaining { 0 };
    // Crashes that count against the fingerprint, and those that no longer do.
    std::vector<ServerCrash> crashes;
    std::vector<ServerCrash> cleared;

    auto operator<=>(const PoisonNotice&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(fingerprint, state, remaining, crashes, cleared); }
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
    // Crashes that are remembered for one fingerprint.
    std::size_t maxCrashes = 16;
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
// reason may condemn a popular request, so one probation run is allowed after a refusal, on all hosts together.
class PoisonTable {
public:
    explicit PoisonTable(PoisonTableOptions options = {})
        : m_options(options)
    {
    }

    // State of a fingerprint, or nothing if it has no recent crash.
    std::optional<PoisonState> stateOf(Fingerprint fingerprint, TimePoint now) const;
    bool isRefused(Fingerprint fingerprint, TimePoint now) const;
    // Whether a request may be sent after some runs in the same attempt of its caller. A suspect, and a request
    // on probation, is not sent again in one attempt, so that it ends no further server before its last run is
    // accounted for.
    bool mayRun(Fingerprint fingerprint, bool isProbation, int earlierRuns, TimePoint now) const;
    // Whether a refused fingerprint may have its probation run now.
    bool canStartProbation(Fingerprint fingerprint, TimePoint now) const;
    // Records that a refused fingerprint has its probation run. The other hosts have to be told, so that they
    // allow no other one.
    void startProbation(Fingerprint fingerprint, TimePoint now);
    // Time until the entry of the fingerprint expires; zero without an entry.
    Milliseconds remaining(Fingerprint fingerprint, TimePoint now) const;
    // Number of crashes that count against a fingerprint.
    std::size_t crashCount(Fingerprint fingerprint, TimePoint now) const;
    // Records a crash of the server that ran the fingerprint. Returns the notice for the other members.
    PoisonNotice recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now);
    // Records a crashed server. Returns the notice for the other hosts, or nothing if it was known.
    std::optional<PoisonNotice> recordCrash(
        Fingerprint fingerprint, const ServerCrash& crash, TimePoint now);
    // Clears a suspect that has finished. Returns whether the fingerprint was a suspect.
    bool recordFinish(Fingerprint fingerprint, TimePoint now);
    // Clears the crashes of a stage that has finished. Returns the notice for the other hosts, or nothing
    // if the fingerprint was not a suspect.
    std::optional<PoisonNotice> recordFinish(Fingerprint fingerprint, int stage, TimePoint now);
    // Clears one crash, after the server turned out not to have ended. Returns the notice for the other
    // hosts, or nothing if the crash did not count.
    std::optional<PoisonNotice> withdrawCrash(
        Fingerprint fingerprint, const ServerCrash& crash, TimePoint now);
    // What is known of a fingerprint, for other hosts; nothing without an entry.
    std::optional<PoisonNotice> noticeOf(Fingerprint fingerprint, TimePoint now) const;
    // Applies a notice from another member. A notice whose crashes are all known changes no lifetime.
    void apply(const PoisonNotice& notice, TimePoint now);
    std::size_t size() const { return m_entries.size(); }
    // Number of fingerprints in a state.
    std::size_t count(PoisonState state, TimePoint now) const;

private:
    struct Entry {
        // Set by crashes of requests of which it is known whether they ran alone.
        std::optional<PoisonState> state;
        TimePoint expiresAt {};
        // When the fingerprint was refused, as long as it is.
        std::optional<TimePoint> refusedSince;
        // Crashed servers, and whether they were cleared.
        std::map<ServerCrash, bool> crashes;
    };

    std::optional<PoisonState> stateOf(const Entry& entry) const;
    static std::size_t crashCount(const Entry& entry);
    void updateRefusedSince(Entry& entry, TimePoint now) const;
    const Entry* find(Fingerprint fingerprint, TimePoint now) const;
    // The current entry, or a new one in place of an expired one.
    Entry& findOrInsert(Fingerprint fingerprint, TimePoint now);
    // Returns whether the crash or that it was cleared is new.
    bool addCrash(Entry& entry, const ServerCrash& crash, bool isCleared) const;
    PoisonNotice noticeOf(Fingerprint fingerprint, const Entry& entry, TimePoint now) const;
    void makeRoom(TimePoint now);

    PoisonTableOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
};

}
