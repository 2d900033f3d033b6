#pragma once

#include "libapricot/clock.h"

#include <string_view>
#include <variant>

namespace Apricot {

// Draws two servers at random, weighted by their caps, and chooses the one with the lower expected
// time.
struct PowerOfTwoChoices {
    // Additional latency of a call to another failure domain.
    Microseconds remoteCallDelay { 3000 };
    // Prefill time saved on the server that has the input's prefix in its cache.
    Milliseconds prefillTimeSaved { 40 };

    auto operator<=>(const PowerOfTwoChoices&) const = default;
};

// Baseline: the servers in turn, regardless of their load and caps.
struct RoundRobin {
    auto operator<=>(const RoundRobin&) const = default;
};

// Baseline: the server with the lowest load, from reports that are sampled once per interval.
struct LeastReportedLoad {
    Milliseconds interval { 1000 };

    auto operator<=>(const LeastReportedLoad&) const = default;
};

using RoutingPolicy = std::variant<PowerOfTwoChoices, RoundRobin, LeastReportedLoad>;

// The policy with the given name in the settings: "power_of_two", "round_robin" or "least_reported".
// Throws std::invalid_argument for any other name.
RoutingPolicy routingPolicyNamed(std::string_view name);
bool isRoutingPolicyName(std::string_view name);

}
