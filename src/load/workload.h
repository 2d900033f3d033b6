#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace Apricot {

// One pipeline of the offered load, with its share of all requests.
struct WorkloadItem {
    CatalogueEntry entry;
    double weight = 1;
};

// What is sent: pipelines by weight. Read from JSON of the form
// {"pipelines": {NAME: {"weight": W, "entry": ENTRY}}}, ENTRY as in the catalogue.
struct Workload {
    std::vector<WorkloadItem> items;
};

// Throws std::runtime_error for a file that can't be read or holds something else.
Workload loadWorkload(const std::string& file);

// Rate of new requests from a moment on.
struct RateStep {
    Milliseconds startsAt { 0 };
    double requestsPerSecond = 0;

    auto operator<=>(const RateStep&) const = default;
};

// Rates over time, written "0:100,5000:200": from 0 ms on 100 a second, from 5000 ms on 200.
std::vector<RateStep> parseSchedule(const std::string& text);

// One request of the plan.
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
    // Different prefixes that the inputs begin with.
    int prefixCount = 16;
};

// The whole open-loop plan: arrivals at random intervals around the rate, the same for a seed.
std::vector<PlannedRequest> makePlan(const Workload& workload, const PlanOptions& options);

}
