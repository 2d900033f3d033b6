#pragma once

#include "libapricot/identifier.h"

#include <compare>
#include <cstdint>
#include <string>

namespace Apricot {

// Identity of one attempt of one stage. A response that matches no open attempt is dropped.
struct AttemptId {
    RequestKey key;
    std::uint32_t stage = 0;
    std::uint32_t attempt = 0;
    // Process that started the attempt, so that two coordinators never use the same identity.
    std::string coordinator;

    auto operator<=>(const AttemptId&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(key, stage, attempt, coordinator); }
};

// Text form "key/stage/attempt/coordinator" for headers and logs.
std::string formatAttemptId(const AttemptId& attempt);

}
