#include "libnet/machinelimits.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <algorithm>

namespace Apricot {

namespace {

    constexpr double bytesPerMegabyte = 1024.0 * 1024;
    constexpr std::size_t defaultDescriptors = 1024;

    std::size_t systemMemory()
    {
        const long pages = sysconf(_SC_PHYS_PAGES);
        const long pageBytes = sysconf(_SC_PAGESIZE);
        return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes) : 0;
    }

    std::size_t systemDescriptors()
    {
        rlimit limit {};
        if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
            return defaultDescriptors;
        return limit.rlim_cur;
    }

}

MachineLimits machineLimits(double memoryMegabytes, double descriptors)
{
    return { .memoryBytes = memoryMegabytes > 0 ? static_cast<std::size_t>(memoryMegabytes * bytesPerMegabyte)
                                                : systemMemory(),
        .descriptors = descriptors > 0 ? static_cast<std::size_t>(descriptors) : systemDescriptors() };
}

ClientLimits clientLimits(const MachineLimits& machine, std::size_t largestBodyBytes)
{
    constexpr std::size_t memoryPart = 4;
    // More would only let servers and clients without limits take more; ordinary requests hold a few kilobytes each.
    constexpr std::size_t maxHeldBytes = 32 << 20;
    // Large holders may use three quarters of the account; see MemoryAccountOptions.
    constexpr double largeShare = 0.75;
    constexpr std::size_t bodyMargin = 1 << 20;
    constexpr std::size_t fileDescriptors = 200;
    const auto neededBytes
        = static_cast<std::size_t>(static_cast<double>(largestBodyBytes + bodyMargin) / largeShare);
    return { .memoryBytes = std::max(std::min(machine.memoryBytes / memoryPart, maxHeldBytes), neededBytes),
        .connections = machine.descriptors > 2 * fileDescriptors ? (machine.descriptors - fileDescriptors) / 2
                                                                 : machine.descriptors / memoryPart };
}

void returnLargeBlocks()
{
    constexpr int largeBlockBytes = 128 * 1024;
    // Setting the threshold also keeps the allocator from raising it after the first large block was freed.
    mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
    // Smaller, each request would return memory that the next one needs again.
    constexpr int keptBytes = 1024 * 1024;
    mallopt(M_TRIM_THRESHOLD, keptBytes);
}

}
