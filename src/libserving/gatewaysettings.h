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
    // Endpoints for callers, the load balancer's readiness checks, peer hosts and operators.
    std::string callers = "127.0.0.1:8080";
    std::string readiness = "127.0.0.1:8081";
    std::string peers = "127.0.0.1:8082";
    std::string admin = "127.0.0.1:8083";
    // Peers to query before the host list is known; any of them may be unavailable.
    std::string seeds;
    std::string store;
    // Interval of the reports of backend servers to the store, which removes a server after three without one.
    double serverHeartbeatSeconds = 1.2;

    // Memory and descriptors that the machine allows this process; zero for what the system says.
    double memoryMegabytes = 0;
    double maxDescriptors = 0;

    // Longest time from the stop signal to the end of the process.
    double graceSeconds = 8;
    double retryRatio = 0.2;
    double retrySlack = 50;
    double retryWindowSeconds = 10;
    double coldOvershoot = 1.5;
    double coldTolerance = 5;
    // Largest share of a pool's requests that an unproven version may get; zero turns roll-outs off.
    double rolloutShare = 0;

    auto operator<=>(const GatewaySettings&) const = default;
};

// Adds every setting of apricot-gateway to the table; the current values are the defaults.
void describe(GatewaySettings& settings, SettingsTable& table);

}
