#include "bench/measurement.h"

#include "libapricot/clock.h"

#include <malloc.h>

namespace Apricot {

namespace {

    constexpr Milliseconds measuringTime { 60 };

    struct Line {
        double slope = 0;
        double base = 0;
    };

    template <typename Value>
    Line fitLine(const std::vector<Measurement>& measurements, Value value)
    {
        double sizes = 0;
        double values = 0;
        for (const Measurement& measurement : measurements) {
            sizes += static_cast<double>(measurement.size);
            values += value(measurement);
        }
        const auto count = static_cast<double>(measurements.size());
        double products = 0;
        double squares = 0;
        for (const Measurement& measurement : measurements) {
            const double distance = static_cast<double>(measurement.size) - sizes / count;
            products += distance * (value(measurement) - values / count);
            squares += distance * distance;
        }
        const double slope = squares > 0 ? products / squares : 0;
        return { .slope = slope, .base = (values - slope * sizes) / count };
    }

}

double timeOf(const std::function<void()>& step)
{
    const TimePoint start = RuntimeClock::now();
    int repeats = 0;
    while (RuntimeClock::now() - start < measuringTime) {
        step();
        ++repeats;
    }
    const auto elapsed = RuntimeClock::now() - start;
    return std::chrono::duration<double, std::micro>(elapsed).count() / repeats;
}

double heapGrowth(const std::function<void()>& step)
{
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    step();
    const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    return static_cast<double>(after) - static_cast<double>(before);
}

Slope slopeOf(const std::vector<Measurement>& measurements)
{
    const Line time
        = fitLine(measurements, [](const Measurement& value) { return value.microseconds; });
    const Line bytes = fitLine(measurements, [](const Measurement& value) { return value.bytes; });
    return { .microsecondsPerUnit = time.slope,
        .microsecondsBase = time.base,
        .bytesPerUnit = bytes.slope,
        .bytesBase = bytes.base };
}

}
