#pragma once

#include <compare>
#include <cstddef>

namespace Apricot {

// What the machine allows this process.
struct MachineLimits {
    std::size_t memoryBytes = 0;
    std::size_t descriptors = 0;

    auto operator<=>(const MachineLimits&) const = default;
};

// The stated limits, or what the system reports where one is zero.
MachineLimits machineLimits(double memoryMegabytes, double descriptors);

// What callers may use of a machine.
struct ClientLimits {
    // Bytes that are held for them.
    std::size_t memoryBytes = 0;
    std::size_t connections = 0;

    auto operator<=>(const ClientLimits&) const = default;
};

// The memory is a quarter of the machine's, because a request that runs exists twice and the process needs memory of its
// own, and at least enough for the largest legal body. The connections are half of the descriptors beyond those for
// files, because each request may need a connection to a server.
ClientLimits clientLimits(const MachineLimits& machine, std::size_t largestBodyBytes);

// Makes the allocator return the memory of large blocks to the system as soon as they are freed, so that the peak of one
// crowd does not stay. Called once, before threads start.
void returnLargeBlocks();

}
