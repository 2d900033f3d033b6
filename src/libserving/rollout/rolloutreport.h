#pragma once

#include "libserving/rollout/rolloutevidence.h"
#include "libserving/rollout/rolloutorder.h"

#include <vector>

namespace Apricot {

// What one host, or several whose reports were added, observed of a roll-out since the last report.
struct RolloutReport {
    RolloutOrder order;
    // Hosts for which this report speaks.
    std::size_t hosts = 1;
    // Hosts that direct all requests to the target, now.
    std::size_t shiftedHosts = 0;
    // Requests that run at servers of replaced versions, now.
    std::size_t inFlightAtReplaced = 0;
    RolloutEvidence evidence;
    // Why a host keeps requests from the target.
    std::optional<std::string> fault;

    auto operator<=>(const RolloutReport&) const = default;
};

// Reply to a report: the faults that the acting host has found.
struct RolloutFinding {
    RolloutOrder order;
    std::string fault;

    auto operator<=>(const RolloutFinding&) const = default;
};

// The reports of a host, which is named so that its next report replaces what it said of the present.
struct RolloutReports {
    HostId host;
    std::vector<RolloutReport> reports;

    auto operator<=>(const RolloutReports&) const = default;
};

std::string toJson(const RolloutReports& reports);
// Throws std::exception if the text is malformed.
RolloutReports readRolloutReports(const std::string& text);
std::string toJson(const std::vector<RolloutFinding>& findings);
// Throws std::exception if the text is malformed.
std::vector<RolloutFinding> readRolloutFindings(const std::string& text);

}
