#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <map>
#include <optional>
#include <set>

namespace Apricot {

struct PoolVersionsOptions {
    // How long ago the list of servers may last have been confirmed to be current. A watch of the store is
    // confirmed every two seconds.
    Milliseconds maxAge { 4000 };
    // Longest time between two confirmations within which a server can't have come and gone unseen.
    Milliseconds maxGap { 5000 };
    // How long a version is remembered after its last server.
    Milliseconds retention { 300'000 };
};

// The software versions that a pool's servers had within a time.
struct SeenVersions {
    std::set<SoftwareVersion> versions;
    // Whether no other version can have served within that time.
    bool isComplete = false;
};

// Remembers which software versions the servers of each pool have had, and for how long that is known without a
// gap.
class PoolVersions {
public:
    explicit PoolVersions(PoolVersionsOptions options = {});

    void onServerAdded(const PoolId& pool, const SoftwareVersion& version);
    void onServerRemoved(const PoolId& pool, const SoftwareVersion& version, TimePoint now);
    // Reports that the list of servers was current at a time.
    void confirm(TimePoint confirmedAt);

    SeenVersions seenWithin(const PoolId& pool, Milliseconds time, TimePoint now) const;

private:
    struct VersionUse {
        int servers = 0;
        TimePoint lastSeenAt {};
    };

    PoolVersionsOptions m_options;
    std::map<PoolId, std::map<SoftwareVersion, VersionUse>> m_pools;
    std::optional<TimePoint> m_confirmedAt;
    // Since when there was no gap between confirmations.
    TimePoint m_continuousSince {};
};

}
