#pragma once

#include <chrono>
#include <cmath>

namespace Apricot {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

// Clock used for all decisions and timers. It continues to count while the machine is suspended, so
// a process that was paused sees how much time has passed. Tests pause it and advance it manually.
// It meets the standard clock requirements, so asio timers can use it.
class RuntimeClock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;

    // Stops the clock at its current time until resume() is called.
    static void pause() noexcept;
    // Moves a paused clock forward. Has no effect on a running one.
    static void advance(duration step) noexcept;
    static void resume() noexcept;
};

using TimePoint = RuntimeClock::time_point;
using Duration = RuntimeClock::duration;

// Milliseconds from one time to another, for messages and logs.
inline long long millisecondsBetween(TimePoint from, TimePoint to)
{
    return std::chrono::duration_cast<Milliseconds>(to - from).count();
}

// Milliseconds including the fraction, for calculations.
inline double inMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

// Whole milliseconds, rounded up.
inline Milliseconds ceilMilliseconds(double milliseconds)
{
    return Milliseconds(static_cast<Milliseconds::rep>(std::ceil(milliseconds)));
}

}
