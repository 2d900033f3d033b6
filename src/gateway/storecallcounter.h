#pragma once

#include "libapricot/metrics.h"

#include <string_view>

namespace Apricot {

// Counts the calls to the store. Each one is limited and priced, a waiting watch like any other.
class StoreCallCounter {
public:
    explicit StoreCallCounter(MetricRegistry& metrics);

    // Records a call about an object, or about a kind of objects, given by its prefix.
    void record(std::string_view key, std::string_view reason);

private:
    MetricRegistry& m_metrics;
};

}
