#pragma once

#include "libapricot/clock.h"
#include "libapricot/httplimits.h"
#include "libapricot/identifier.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// How often a backend server may run a request of a route.
enum class RetryRule {
    // Any number of times.
    Idempotent,
    // At most once per attempt of the caller.
    NotIdempotent,
    // The response is a stream of events; at most once unless the route is resumable.
    Stream,
};

// A step of preparatory work, divided into pieces, that must be done before a request can run.
struct StageDefinition {
    PoolId pool;
    // Indices of the stages whose results this stage reads.
    std::vector<int> inputs;
    // Approximate size of the result of one piece.
    double resultBytes = 0;

    auto operator<=>(const StageDefinition&) const = default;
};

// A pool that serves a weighted share of a route's requests.
struct PoolShare {
    PoolId pool;
    double weight = 1;

    auto operator<=>(const PoolShare&) const = default;
};

// Maps requests by host and path to pools, with the rules that apply to them.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RetryRule retryRule = RetryRule::NotIdempotent;
    // Longest time for which a caller waits for its response.
    Milliseconds timeout { 0 };
    // Time within which a response, or a stream's first event, counts as on time.
    Milliseconds objective { 0 };
    // Longest pause between two events with which a stream still counts as on time.
    Milliseconds pauseTarget { 0 };
    // Maximum number of backend servers that may run one attempt of a caller.
    int attemptLimit = 1;
    // Priority; zero is served first.
    int rank = 0;
    std::vector<PoolShare> pools;
    std::vector<StageDefinition> stages;
    // Whether requests are served without an API key.
    bool isPublic = false;
    // Whether a broken stream may be resumed at another server.
    bool isResumable = false;

    auto operator<=>(const Route&) const = default;

    // How long a caller waits for a stream's first event before it disconnects, regardless of its deadline.
    Milliseconds firstEventTimeout() const;
    // Whether requests of this route may run more than once.
    bool isRetryable() const
    {
        return retryRule == RetryRule::Idempotent || isResumable;
    }
};

// Properties of a pool whose servers are model engines.
struct EngineTraits {
    // Number of requests that one engine runs concurrently.
    int slots = 1;
    // Capacity of one engine's memory in prompt tokens.
    double memoryTokens = 0;

    auto operator<=>(const EngineTraits&) const = default;
};

// Properties of a pool whose servers run pieces of stages.
struct StageTraits {
    // Maximum number of pieces in one call.
    int batchLimit = 1;
    // A call takes this fixed time plus the time of each piece.
    Milliseconds callTime { 0 };
    double pieceMilliseconds = 0;
    // Capacity for results on one server.
    double resultCapacityBytes = 0;
    // Time from a call to the expiry of its results, unless they are released before.
    Milliseconds resultLifetime { 0 };

    auto operator<=>(const StageTraits&) const = default;
};

struct Pool {
    PoolId id;
    std::string healthPath;
    Milliseconds coldTime { 0 };
    // Requests per second that a cold server can handle.
    double coldRate = 0;
    std::optional<EngineTraits> engine;
    std::optional<StageTraits> stage;

    auto operator<=>(const Pool&) const = default;
};

struct Owner {
    OwnerId id;
    std::vector<std::string> keys;
    // Overrides the rank of the route.
    std::optional<int> rank;

    auto operator<=>(const Owner&) const = default;
};

// One version of the operator's configuration. Immutable once shared.
struct ServingConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<PoolId, Pool> pools;
    // Absent if the configuration does not name owners; then requests need no API key. An empty list admits no key.
    std::optional<std::vector<Owner>> owners;
    HttpLimits limits;

    // The route of the host with the longest prefix of the path, or null. The port and the case of the host
    // are ignored.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    // The owner of an API key, or null. The empty key, which stands for a request without one, has no owner.
    const Owner* findOwner(std::string_view key) const;
    const Pool* findPool(const PoolId& id) const;
    // Longest time after its first event at which a caller may resume a stream of a pool, in a later attempt
    // with a time limit of its own.
    Milliseconds resumptionTime(const PoolId& pool) const;
    // Whether requests need an API key, except on public routes.
    bool requiresKeys() const { return owners.has_value(); }
};

}
