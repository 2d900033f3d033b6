#pragma once

#include "libapricot/clock.h"
#include "libapricot/fingerprint.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Apricot {

enum class PoisonState {
    // Was in flight on a server that crashed. Runs alone until it has finished once.
    Suspect,
    // Crashed a server that ran no other request; refused.
    Refused,
};

// State of a fingerprint, sent to the other members.
struct PoisonNotice {
    Fingerprint fingerprint = 0;
    PoisonState state = PoisonState::Suspect;
    Milliseconds remaining { 0 };

    auto operator<=>(const PoisonNotice&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(fingerprint, state, remaining); }
};

struct PoisonTableOptions {
    Milliseconds suspectLifetime { 600'000 };
    Milliseconds refusedLifetime { 600'000 };
    std::size_t maxEntries = 10'000;
};

// Identifies requests that crash backend servers. Every request that was in flight on a crashed server
// becomes a suspect and runs alone from then on. Only a crash while it runs alone makes it refused; a
// suspect that finishes is cleared. Other requests may thus be delayed, but are never refused.
class PoisonTable {
public:
    explicit PoisonTable(PoisonTableOptions options = {})
        : m_options(options)
    {
    }

    // State of a fingerprint, or nothing if it has no recent crash.
    std::optional<PoisonState> stateOf(Fingerprint fingerprint, TimePoint now) const;
    // Time until the entry of the fingerprint expires; zero without an entry.
    Milliseconds remaining(Fingerprint fingerprint, TimePoint now) const;
    // Records a crash of the server that ran the fingerprint. Returns the notice for the other members.
    PoisonNotice recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now);
    // Clears a suspect that has finished. Returns whether the fingerprint was a suspect.
    bool recordFinish(Fingerprint fingerprint, TimePoint now);
    // Applies a notice from another member.
    void apply(const PoisonNotice& notice, TimePoint now);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        PoisonState state = PoisonState::Suspect;
        TimePoint expiresAt {};
    };

    void insert(Fingerprint fingerprint, Entry entry, TimePoint now);

    PoisonTableOptions m_options;
    std::map<Fingerprint, Entry> m_entries;
};

}
