#pragma once

#include "libapricot/identifier.h"

#include <chrono>
#include <optional>
#include <string>

namespace Apricot {

// Instant of the wall clock, used only to determine the age of keys.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Creation time of a version 7 UUID, or nothing for any other key.
std::optional<WallTime> timeOfKey(const RequestKey& key);

enum class KeyValidity {
    // Not a version 7 UUID, or created in the future.
    Malformed,
    Usable,
    Expired,
};

// Validity of the keys of requests with non-idempotent stages.
constexpr std::chrono::hours keyLifetime { 24 };
// How far the clock of the host that created a key may be ahead of this host's.
constexpr std::chrono::minutes keyClockTolerance { 5 };

KeyValidity validityOfKey(const RequestKey& key, WallTime now);

// Number of platform objects over which the claims of one hour are distributed.
constexpr unsigned claimPartitions = 16;

// Platform key of the object that stores the claims of the key's hour and partition.
std::string claimObjectKey(const RequestKey& key, WallTime keyTime);
std::string claimObjectKey(unsigned partition, WallTime keyTime);
// Partition of a key's claims. It also determines which host writes them.
unsigned claimPartition(const RequestKey& key);

}
