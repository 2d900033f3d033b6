#pragma once

#include "libapricot/clock.h"

#include <string_view>
#include <variant>

namespace Apricot {

// Compares two servers drawn at random with their caps as weights, and takes the one where the
// attempt is expected to cost less time.
struct PowerOfTwoChoices {
    // Time that a call of another failure domain takes longer.
    Microseconds remoteCallDelay { 3000 };
    // Prefill time that the server with the input's prefix in its cache saves.
    Milliseconds prefillTimeSaved { 40 };

    auto operator<=>(const PowerOfTwoChoices&) const = default;
};

// Baseline: the servers in turn, whatever their load and caps.
struct RoundRobin {
    auto operator<=>(const RoundRobin&) const = default;
};

// Baseline: the server with the least load in reports that are taken over only once in an interval.
struct LeastReportedLoad {
    Milliseconds interval { 1000 };

    auto operator<=>(const LeastReportedLoad&) const = default;
};

using RoutingPolicy = std::variant<PowerOfTwoChoices, RoundRobin, LeastReportedLoad>;

// The policy with a name from the settings: "power_of_two", "round_robin" or "least_reported".
// Throws std::invalid_argument for any other.
RoutingPolicy routingPolicyNamed(std::string_view name);
bool isRoutingPolicyName(std::string_view name);

}
