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
double timeOf(const std::function<void()>& step);
// Bytes of heap that a step leaves in use.
double heapGrowth(const std::function<void()>& step);

// Linear slope and intercept through measurements of one subject, by least squares.
struct Slope {
    double microsecondsPerUnit = 0;
    double microsecondsBase = 0;
    double bytesPerUnit = 0;
    double bytesBase = 0;
};
Slope slopeOf(const std::vector<Measurement>& measurements);

}
