#include "libapricot/clock.h"

#include <atomic>
#include <ctime>

namespace Apricot {

namespace {

    std::atomic<bool> isPaused { false };
    std::atomic<RuntimeClock::rep> pausedTime { 0 };

    RuntimeClock::rep readBootTime() noexcept
    {
        timespec reading {};
        clock_gettime(CLOCK_BOOTTIME, &reading);
        return std::chrono::duration_cast<RuntimeClock::duration>(
            std::chrono::seconds(reading.tv_sec) + std::chrono::nanoseconds(reading.tv_nsec))
            .count();
    }

}

RuntimeClock::time_point RuntimeClock::now() noexcept
{
    const rep reading = isPaused.load() ? pausedTime.load() : readBootTime();
    return time_point(duration(reading));
}

void RuntimeClock::pause() noexcept
{
    pausedTime.store(readBootTime());
    isPaused.store(true);
}

void RuntimeClock::advance(duration step) noexcept
{
    if (isPaused.load())
        pausedTime.fetch_add(step.count());
}

void RuntimeClock::resume() noexcept
{
    isPaused.store(false);
}

}
