#include "libapricot/clock.h"

#include <atomic>
#include <ctime>

namespace Apricot {

namespace {

    std::atomic<bool> paused { false };
    std::atomic<RuntimeClock::rep> pausedReading { 0 };

    RuntimeClock::rep readSystemClock() noexcept
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
    const rep reading = paused.load() ? pausedReading.load() : readSystemClock();
    return time_point(duration(reading));
}

void RuntimeClock::pause() noexcept
{
    pausedReading.store(readSystemClock());
    paused.store(true);
}

void RuntimeClock::advance(duration step) noexcept
{
    if (paused.load())
        pausedReading.fetch_add(step.count());
}

void RuntimeClock::resume() noexcept
{
    paused.store(false);
}

}
