#pragma once

#include "libapricot/identifier.h"

#include <cstdint>

namespace Apricot {

// One start of a backend server.
struct ServerStart {
    BackendServerId server;
    // Unix time of the start in milliseconds.
    std::int64_t startedAt = 0;

    auto operator<=>(const ServerStart&) const = default;
};

}
