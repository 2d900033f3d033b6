#include "libserving/gatewaysettings.h"

namespace Apricot {

namespace {

    constexpr NumberRange<double> secondsRange { 0.1, 3600 };
    constexpr NumberRange<double> ratioRange { 0, 10 };
    constexpr NumberRange<double> shareRange { 0, 1 };
    constexpr NumberRange<double> countRange { 0, 1'000'000 };

    void describeEndpoint(std::string& target, SettingsTable& table, const std::string& section,
        const std::string& key, const std::string& effect)
    {
        table.add({ .section = section, .key = key, .format = TextFormat::Endpoint, .effect = effect },
            &target);
    }

    void describeNumber(double& target, SettingsTable& table, const std::string& key,
        NumberRange<double> range, const std::string& effect, const std::string& section = "bounds")
    {
        table.add({ .section = section, .key = key, .range = range, .effect = effect }, &target);
    }

}

void describe(GatewaySettings& settings, SettingsTable& table)
{
    describe(settings.process, table);
    describeEndpoint(settings.callers, table, "listen", "callers", "Where callers connect.");
    describeEndpoint(settings.readiness, table, "listen", "readiness",
        "Where the load balancer checks whether this host accepts callers.");
    describeEndpoint(settings.peers, table, "listen", "peers", "Where the other hosts connect.");
    describeEndpoint(settings.admin, table, "listen", "admin",
        "Where metrics, health and the state dump are served.");
    table.add({ .section = "peers",
                  .key = "seeds",
                  .format = TextFormat::EndpointList,
                  .effect = "Hosts to query for what the store does not provide; any may be unavailable." },
        &settings.seeds);
    table.add({ .section = "store",
                  .key = "endpoint",
                  .format = TextFormat::Endpoint,
                  .required = true,
                  .effect = "Where the platform's object API listens." },
        &settings.store);
    table.add({ .section = "store",
                  .key = "server_heartbeat_seconds",
                  .range = secondsRange,
                  .effect = "Interval of the reports of backend servers to the store, in seconds." },
        &settings.serverHeartbeatSeconds);
    describeNumber(settings.memoryMegabytes, table, "memory_mb", countRange,
        "Memory of the machine for this process, in megabytes. A quarter of it, and 32 MiB at most, may be held for clients. "
        "Zero stands for the memory that the system reports.",
        "machine");
    describeNumber(settings.maxDescriptors, table, "max_descriptors", countRange,
        "Descriptors of this process. Callers may use half of those beyond 200. "
        "Zero stands for the limit that the system reports.",
        "machine");
    describeNumber(settings.graceSeconds, table, "grace_seconds", secondsRange,
        "Time that the platform allows a process to stop, in seconds.");
    describeNumber(settings.retryRatio, table, "retry_ratio", ratioRange,
        "Retries allowed per request of a pool, over all hosts.");
    describeNumber(settings.retrySlack, table, "retry_slack", countRange,
        "Additional retries allowed per pool in each window, over all hosts.");
    describeNumber(settings.retryWindowSeconds, table, "retry_window_seconds", secondsRange,
        "Window over which requests and retries are counted, in seconds.");
    describeNumber(settings.coldOvershoot, table, "cold_overshoot", ratioRange,
        "Multiple of its pool's cold rate that may be sent to a cold server, over all hosts.");
    describeNumber(settings.coldTolerance, table, "cold_tolerance", countRange,
        "Additional requests per second that may be sent to a cold server, over all hosts.");
    describeNumber(settings.rolloutShare, table, "rollout_share", shareRange,
        "Largest share of a pool's requests that a new version may get while it is on trial, over all hosts. "
        "Orders to roll out versions are followed only if it is above zero.");
}

}
