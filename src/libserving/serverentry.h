#pragma once

#include "libapricot/clock.h"
#include "libapricot/endpoint.h"
#include "libapricot/identifier.h"
#include "libserving/serverstart.h"

#include <cstdint>

namespace Apricot {

// The entry that a backend server publishes in the store.
struct ServerEntry {
    BackendServerId id;
    PoolId pool;
    Endpoint endpoint;
    FailureDomainId domain;
    // Empty if the entry names none.
    SoftwareVersion softwareVersion;
    int slots = 1;
    bool isDraining = false;
    // Remaining time for which the server is cold, as of when the entry was written.
    Milliseconds coldTimeLeft { 0 };
    // Number of the report; rises with each report of one start.
    std::int64_t sequence = 0;
    // Unix time of the server's start in milliseconds; distinguishes restarts under the same ID.
    std::int64_t startedAt = 0;

    auto operator<=>(const ServerEntry&) const = default;
};

inline ServerStart startOf(const ServerEntry& server) { return { server.id, server.startedAt }; }

}
