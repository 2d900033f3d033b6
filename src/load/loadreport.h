#pragma once

#include "load/loadresult.h"
#include "load/workload.h"

#include <boost/json/value.hpp>

#include <string>

namespace Apricot {

// The figures of a run as JSON: attainment, goodput, delays, refusals, losses, cost by stage.
boost::json::value makeReport(
    const Workload& workload, const std::vector<RequestResult>& results, Duration length);

// The same figures as a table.
std::string formatReport(const boost::json::value& report);

// Value below which the given share of the samples lies, in milliseconds; zero without samples.
double percentile(std::vector<Duration> samples, double fraction);

}
