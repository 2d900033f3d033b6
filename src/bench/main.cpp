#include "bench/benchmarks.h"

#include <cstdio>

namespace {

using namespace Apricot;

void print(const std::vector<Measurement>& measurements)
{
    for (const Measurement& measurement : measurements)
        std::printf("| %s | %zu %s | %.2f | %.0f |\n", measurement.subject.c_str(),
            measurement.size, measurement.unit.c_str(), measurement.microseconds,
            measurement.bytes);
    const LinearFit fit = fitMeasurements(measurements);
    std::printf("| %s, slope | 1 %s | %.5f (+ %.2f) | %.1f (+ %.0f) |\n",
        measurements.front().subject.c_str(), measurements.front().unit.c_str(),
        fit.microsecondsPerUnit, fit.microsecondsIntercept, fit.bytesPerUnit, fit.bytesIntercept);
}

}

int main()
{
    std::printf("| subject | size | microseconds | bytes |\n| --- | --- | ---: | ---: |\n");
    print(measureHostRanking());
    print(measureCellStateEncoding());
    print(measureCatalogueSnapshot());
    print(measureShareRound());
    print(measureShareRequestEncoding());
    print(measureRouterChoice());
    print(measureRequestRecords());
    return 0;
}
