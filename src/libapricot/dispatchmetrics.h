#pragma once

#include "libapricot/metrics.h"

#include <boost/json/value.hpp>

namespace Apricot {

// Sets the gauges of a dispatch daemon from its state dump, so that both show the same values.
// Gauges for fields missing from the dump are not set.
void setDispatchMetrics(MetricRegistry& registry, const boost::json::value& state);

}
