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

// How often a route's requests may run.
enum class RetryRule {
    // More than once.
    Idempotent,
    // At most once for each attempt of the caller.
    NotIdempotent,
    // A stream of events: at most once, unless the route may be resumed.
    Stream,
};

// Work that has to be done before a request can run, cut into pieces.
struct StageDefinition {
    PoolId pool;
    // Stages whose results this one reads.
    std::vector<int> inputs;
    // Approximate size of one piece's result.
    double resultBytes = 0;

    auto operator<=>(const StageDefinition&) const = default;
};

// A pool that gets part of a route's requests.
struct PoolShare {
    PoolId pool;
    double weight = 1;

    auto operator<=>(const PoolShare&) const = default;
};

// Which requests go where, and what holds for them.
struct Route {
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    RetryRule retryRule = RetryRule::NotIdempotent;
    // Longest time that a caller is kept waiting.
    Milliseconds timeout { 0 };
    // Time within which an answer, or a stream's first event, earns full credit.
    Milliseconds objective { 0 };
    // Longest pause between events for which a stream is still on time.
    Milliseconds pauseTarget { 0 };
    // Most backend servers that may run one attempt of a caller.
    int attemptLimit = 1;
    // Zero goes first.
    int rank = 0;
    std::vector<PoolShare> pools;
    std::vector<StageDefinition> stages;
    // Served without a key.
    bool isPublic = false;
    // Whether a broken stream may go on at another server.
    bool isResumable = false;

    auto operator<=>(const Route&) const = default;

    // How long a caller waits for a stream's first event before it leaves, whatever its deadline.
    Milliseconds firstEventTimeout() const;
    // Whether requests of this route may run more than once.
    bool isRetryable() const
    {
        return retryRule == RetryRule::Idempotent || isResumable;
    }
};

// What a pool's servers are like when they are model engines.
struct EngineTraits {
    // Requests that one engine runs at the same time.
    int slots = 1;
    // Tokens that one engine's memory holds.
    double memoryTokens = 0;

    auto operator<=>(const EngineTraits&) const = default;
};

// What a pool's servers are like when they run pieces of stages.
struct StageTraits {
    // Pieces that one call may carry.
    int batchLimit = 1;
    Milliseconds callTime { 0 };
    double pieceMilliseconds = 0;
    // Room for results on one server.
    double resultCapacityBytes = 0;
    // A result is dropped so long after its call unless it is released.
    Milliseconds resultLifetime { 0 };

    auto operator<=>(const StageTraits&) const = default;
};

struct Pool {
    PoolId id;
    std::string healthPath;
    Milliseconds coldTime { 0 };
    // Requests a second that a cold server bears.
    double coldRate = 0;
    std::optional<EngineTraits> engine;
    std::optional<StageTraits> stage;

    auto operator<=>(const Pool&) const = default;
};

struct Owner {
    OwnerId id;
    std::vector<std::string> keys;
    // Takes precedence over the route's rank.
    std::optional<int> rank;

    auto operator<=>(const Owner&) const = default;
};

// The operator's configuration at one version. Immutable once shared.
struct ServingConfig {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<PoolId, Pool> pools;
    std::vector<Owner> owners;
    HttpLimits limits;

    // The route of a host with the longest prefix that begins the path, or nothing.
    const Route* findRoute(std::string_view host, std::string_view path) const;
    // The owner that holds a key, or nothing.
    const Owner* findOwner(std::string_view key) const;
    const Pool* findPool(const PoolId& id) const;
    // Whether a key has to be shown at all.
    bool needsKeys() const { return !owners.empty(); }
};

}
