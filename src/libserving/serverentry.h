#pragma once

#include "libapricot/clock.h"
#include "libapricot/endpoint.h"
#include "libapricot/identifier.h"

#include <cstdint>

namespace Apricot {

// What a backend server says of itself in the store.
struct ServerEntry {
    BackendServerId id;
    PoolId pool;
    Endpoint endpoint;
    FailureDomainId domain;
    int slots = 1;
    bool isDraining = false;
    // How much longer it stays cold, as of the entry's writing.
    Milliseconds coldLeft { 0 };
    // Unix time of its start in milliseconds; tells two starts under one id apart.
    std::int64_t startedAt = 0;

    auto operator<=>(const ServerEntry&) const = default;
};

}
