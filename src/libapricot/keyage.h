#pragma once

#include "libapricot/identifier.h"

#include <chrono>
#include <optional>
#include <string>

namespace Apricot {

// Instant of the wall clock, which only the ages of keys are counted with.
using WallTime = std::chrono::sys_time<std::chrono::milliseconds>;

// Time at which a UUID of version 7 was made, or nothing for any other key.
std::optional<WallTime> timeOfKey(const RequestKey& key);

enum class KeyAge {
    // Not a UUID of version 7, or made in the future.
    Malformed,
    Usable,
    Expired,
};

// How long keys of requests with non-idempotent stages may be used.
constexpr std::chrono::hours keyLifetime { 24 };
// How far ahead of this host the clock of a key's maker may be.
constexpr std::chrono::minutes keyClockTolerance { 5 };

KeyAge ageOfKey(const RequestKey& key, WallTime now);

// Objects into which the claims of one hour are divided.
constexpr unsigned claimPartitions = 16;

// Platform key of the object that holds the claims of a key's hour and partition.
std::string claimObjectKey(const RequestKey& key, WallTime keyTime);
std::string claimObjectKey(unsigned partition, WallTime keyTime);
// Partition of a key's claims, which also decides which host writes them.
unsigned claimPartition(const RequestKey& key);

}
