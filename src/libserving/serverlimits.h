#pragma once

#include "libapricot/tokenbucket.h"
#include "libserving/serverstarttable.h"

#include <optional>

namespace Apricot {

// What a response of a backend server said about its limit.
struct LimitEvidence {
    // Requests per second that the server accepts from all hosts together; not set if it named no limit.
    std::optional<double> limit;
    // When the request of the response was sent. Responses overtake each other, so the latest request counts.
    TimePoint sentAt {};

    auto operator<=>(const LimitEvidence&) const = default;
};

enum class LimitChange {
    None,
    Named,
    Changed,
    Ended,
};

struct ServerLimitsOptions {
    // A server that permits less is tried this often, because its limit may have ended.
    Milliseconds trialInterval { 10'000 };
    // Longest time for which another host's refusal of a permit is relied on.
    Milliseconds maxRefusalTime { 2000 };
    // How long the end of a limit is remembered, so that older responses do not name it again.
    Milliseconds endedLifetime { 30'000 };
};

// The limits that backend servers named, and the permits that this host may grant for them.
class ServerLimits {
public:
    explicit ServerLimits(ServerLimitsOptions options = {});

    // Applies evidence, unless later evidence is known. A new start of a server has no limit.
    LimitChange record(const ServerStart& server, const LimitEvidence& evidence, TimePoint now);
    // The evidence of a limit in force, or null.
    const LimitEvidence* find(const ServerStart& server) const;
    // The latest evidence, also of the end of a limit, or null.
    const LimitEvidence* latest(const ServerStart& server) const;
    // Number of servers with a limit in force.
    std::size_t size() const { return m_entries.count(isInForce); }
    bool isEmpty() const { return !m_entries.contains(isInForce); }

    // Acquires a permit out of a share of the limit. Always succeeds if no limit is in force.
    bool tryAcquire(const ServerStart& server, double share, TimePoint now);
    // When the next permit is due out of a share of the limit.
    TimePoint nextPermitAt(const ServerStart& server, double share, TimePoint now);

    // Records that another host, which grants the permits, has none before a time.
    void recordRefusal(const ServerStart& server, TimePoint until, TimePoint now);
    // Until when another host has no permits.
    TimePoint refusedUntil(const ServerStart& server) const;

    // Removes the servers that are not listed.
    void retain(const std::set<BackendServerId>& listed) { m_entries.retain(listed); }

private:
    struct Entry {
        LimitEvidence evidence;
        TokenBucket permits;
        TimePoint refusedUntil {};
    };

    // Removes limits that ended some time ago, at intervals.
    void removeEnded(TimePoint now);
    static bool isInForce(const Entry& entry) { return entry.evidence.limit.has_value(); }
    // The entry of a server with a limit in force, its permits refilled at a share of it; or null.
    Entry* refill(const ServerStart& server, double share, TimePoint now);

    ServerLimitsOptions m_options;
    ServerStartTable<Entry> m_entries;
    TimePoint m_nextRemovalAt {};
};

}
