#pragma once

#include "libapricot/clock.h"
#include "libapricot/recordcopy.h"

#include <cstddef>
#include <map>
#include <optional>

namespace Apricot {

enum class PoisonState {
    // Was in flight on a server that crashed; runs alone until it has finished once.
    Suspect,
    // Crashed a server that ran nothing else; refused.
    Refused,
};

// What one process tells the others of a fingerprint.
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

// Finds requests that crash the backend servers that run them. A crash makes every request that was
// in flight on the server a suspect; a suspect runs alone, and only a crash while it runs alone
// condemns it. A suspect that finishes is cleared, so innocents are delayed but never refused.
class PoisonTable {
public:
    explicit PoisonTable(PoisonTableOptions options = {})
        : m_options(options)
    {
    }

    // State of a fingerprint, or nothing for one without a crash.
    std::optional<PoisonState> stateOf(Fingerprint fingerprint, TimePoint now) const;
    // How long a refused fingerprint stays refused.
    Milliseconds remaining(Fingerprint fingerprint, TimePoint now) const;
    // Counts a crash of the server that ran the fingerprint. Returns what to tell the other members.
    PoisonNotice recordCrash(Fingerprint fingerprint, bool ranAlone, TimePoint now);
    // Clears a suspect that finished. Returns whether it was one.
    bool recordFinish(Fingerprint fingerprint, TimePoint now);
    // Takes over what another member found.
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
