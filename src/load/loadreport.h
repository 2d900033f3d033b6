#pragma once

#include "load/loadresult.h"
#include "load/workload.h"

#include <boost/json/value.hpp>

#include <string>

namespace Apricot {

// Creates the report of a run as JSON: attainment, goodput, latencies, refusals, losses and cost by
// stage.
boost::json::value makeReport(
    const Workload& workload, const std::vector<RequestResult>& results, Duration length);

// Formats a report as a table with one line for each group of requests, followed by the other values.
std::string formatReport(const boost::json::value& report);

// Value in milliseconds that the given fraction of the samples does not exceed; zero without samples.
double percentile(std::vector<Duration> samples, double fraction);

}
