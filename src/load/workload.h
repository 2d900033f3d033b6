#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Apricot {

// Pipeline of a workload, with its weight in the mix of requests.
struct WorkloadItem {
    CatalogueEntry entry;
    double weight = 1;
};

// Weighted mix of pipelines that the requests call. The file format is JSON of the form
// {"pipelines": {NAME: {"weight": W, "entry": ENTRY}}}, ENTRY as in the catalogue.
struct Workload {
    std::vector<WorkloadItem> items;
};

// Throws std::runtime_error for a file that can't be read or contains no pipelines, and other
// exceptions derived from std::exception for malformed JSON.
Workload loadWorkload(const std::string& file);

// Rate of new requests from a time on, which counts from the start of the run.
struct RateStep {
    Milliseconds startsAt { 0 };
    double requestsPerSecond = 0;

    auto operator<=>(const RateStep&) const = default;
};

// Parses rates over time. "0:100,5000:200" means 100 requests per second from 0 ms and 200 per second
// from 5000 ms. Throws std::runtime_error for a step without a colon.
std::vector<RateStep> parseSchedule(const std::string& text);

// Planned request; arrival counts from the start of the run.
struct PlannedRequest {
    Duration arrival {};
    std::size_t itemIndex = 0;
    std::string input;
};

struct PlanOptions {
    std::vector<RateStep> schedule;
    Milliseconds length { 10000 };
    std::size_t maxRequests = 10000;
    std::uint64_t seed = 1;
    // Number of different prefixes that the inputs start with.
    int prefixCount = 16;
};

// Creates an open-loop plan. The intervals between arrivals are distributed exponentially around the
// rate; equal options and workloads give equal plans.
std::vector<PlannedRequest> makePlan(const Workload& workload, const PlanOptions& options);

}
