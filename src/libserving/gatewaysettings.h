#pragma once

#include "libapricot/endpoint.h"
#include "libapricot/processsettings.h"
#include "libapricot/settings.h"

#include <string>
#include <vector>

namespace Apricot {

// Settings of apricot-gateway.
struct GatewaySettings {
    ProcessSettings process;
    // Where callers, the balancer's readiness checks, the peers and the operators connect.
    std::string callers = "127.0.0.1:8080";
    std::string readiness = "127.0.0.1:8081";
    std::string peers = "127.0.0.1:8082";
    std::string admin = "127.0.0.1:8083";
    // Peers to ask first; any of them may be gone.
    std::string seeds;
    std::string store;

    // Time from the signal to stop to the end of the process, in seconds.
    double graceSeconds = 8;
    double retryRatio = 0.2;
    double retrySlack = 50;
    double retryWindowSeconds = 10;
    double coldOvershoot = 1.5;
    double coldTolerance = 5;

    auto operator<=>(const GatewaySettings&) const = default;
};

// Declares every setting of apricot-gateway with its present value as default.
void describe(GatewaySettings& settings, SettingsTable& table);

}
