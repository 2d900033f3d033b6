#include "bench/measurement.h"

#include "libapricot/clock.h"

#include <malloc.h>

namespace Apricot {

namespace {

    constexpr Milliseconds minMeasuringTime { 60 };

    struct Line {
        double slope = 0;
        double intercept = 0;
    };

    template <typename Value>
    Line fitLine(const std::vector<Measurement>& measurements, Value valueOf)
    {
        double sizeSum = 0;
        double valueSum = 0;
        for (const Measurement& measurement : measurements) {
            sizeSum += static_cast<double>(measurement.size);
            valueSum += valueOf(measurement);
        }
        const auto count = static_cast<double>(measurements.size());
        double productSum = 0;
        double squareSum = 0;
        for (const Measurement& measurement : measurements) {
            const double deviation = static_cast<double>(measurement.size) - sizeSum / count;
            productSum += deviation * (valueOf(measurement) - valueSum / count);
            squareSum += deviation * deviation;
        }
        const double slope = squareSum > 0 ? productSum / squareSum : 0;
        return { .slope = slope, .intercept = (valueSum - slope * sizeSum) / count };
    }

}

double meanMicroseconds(const std::function<void()>& operation)
{
    const TimePoint start = RuntimeClock::now();
    int repetitions = 0;
    while (RuntimeClock::now() - start < minMeasuringTime) {
        operation();
        ++repetitions;
    }
    const auto elapsed = RuntimeClock::now() - start;
    return std::chrono::duration<double, std::micro>(elapsed).count() / repetitions;
}

double heapGrowth(const std::function<void()>& operation)
{
    const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
    operation();
    const std::size_t after = mallinfo2().uordblks + mallinfo2().hblkhd;
    return static_cast<double>(after) - static_cast<double>(before);
}

LinearFit fitMeasurements(const std::vector<Measurement>& measurements)
{
    const Line time = fitLine(measurements,
        [](const Measurement& measurement) { return measurement.microseconds; });
    const Line bytes
        = fitLine(measurements, [](const Measurement& measurement) { return measurement.bytes; });
    return { .microsecondsPerUnit = time.slope,
        .microsecondsIntercept = time.intercept,
        .bytesPerUnit = bytes.slope,
        .bytesIntercept = bytes.intercept };
}

}
