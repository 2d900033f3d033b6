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

// Makes the allocator return the memory of large blocks to the system as soon as they are freed, so that the peak of one
// crowd does not stay. Called once, before threads start.
void returnLargeBlocks();

}
