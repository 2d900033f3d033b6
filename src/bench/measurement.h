#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Apricot {

// What one decision or structure costs at one size.
struct Measurement {
    std::string subject;
    // What the size counts, such as "members".
    std::string unit;
    std::size_t size = 0;
    double microseconds = 0;
    double bytes = 0;
};

// Mean time in microseconds of a step, repeated until enough time has passed to tell.
double meanMicroseconds(const std::function<void()>& operation);
// Bytes of heap that a step leaves in use.
double heapGrowth(const std::function<void()>& operation);

// Linear slope and intercept through measurements of one subject, by least squares.
struct LinearFit {
    double microsecondsPerUnit = 0;
    double microsecondsIntercept = 0;
    double bytesPerUnit = 0;
    double bytesIntercept = 0;
};
LinearFit fitMeasurements(const std::vector<Measurement>& measurements);

}
