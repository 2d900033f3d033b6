#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Apricot {

// Cost of one operation or data structure at one size.
struct Measurement {
    std::string subject;
    // Unit of the size, such as "members".
    std::string unit;
    std::size_t size = 0;
    double microseconds = 0;
    double bytes = 0;
};

// Mean duration of an operation in microseconds. Repeats the operation until the total time is long
// enough for a meaningful mean.
double meanMicroseconds(const std::function<void()>& operation);
// Increase of the heap memory in use after an operation, in bytes.
double heapGrowth(const std::function<void()>& operation);

// Least-squares line through the measurements of one subject.
struct LinearFit {
    double microsecondsPerUnit = 0;
    double microsecondsIntercept = 0;
    double bytesPerUnit = 0;
    double bytesIntercept = 0;
};
LinearFit fitMeasurements(const std::vector<Measurement>& measurements);

}
