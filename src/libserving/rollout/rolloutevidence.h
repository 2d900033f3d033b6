#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace Apricot {

// How servers of one version answered requests of one route. Counts of several hosts are added.
struct AnswerCounts {
    // Bounds of the buckets grow by the square root of two, from one millisecond to 16 seconds.
    static constexpr std::size_t durationBuckets = 29;

    std::uint32_t answers = 0;
    // Answers with a failure of the server, broken ones, and those that did not come in time.
    std::uint32_t failures = 0;
    // One bit for each server that failed, by a hash of its ID.
    std::uint64_t failedServers = 0;
    // Successful answers by duration: of the whole answer, or between two events of a stream.
    std::array<std::uint32_t, durationBuckets> durations {};

    auto operator<=>(const AnswerCounts&) const = default;

    void recordFailure(const BackendServerId& server);
    // The duration is not set for an answer that is too short to tell.
    void recordSuccess(std::optional<Duration> duration);
    void add(const AnswerCounts& other);
    std::uint32_t successes() const { return answers - failures; }
};

// Answers on one route in the same time, by servers of the target version and by those that it replaces.
struct RouteEvidence {
    AnswerCounts target;
    AnswerCounts replaced;

    auto operator<=>(const RouteEvidence&) const = default;
};

// What is known about how the target version of a roll-out serves.
class RolloutEvidence {
public:
    // Routes beyond this number are counted together, so that reports stay small.
    static constexpr std::size_t maxRoutes = 24;

    RouteEvidence& route(const std::string& name);
    const std::map<std::string, RouteEvidence>& routes() const { return m_routes; }
    void add(const RolloutEvidence& other);
    // All routes together.
    RouteEvidence total() const;
    bool empty() const { return m_routes.empty(); }

    auto operator<=>(const RolloutEvidence&) const = default;

private:
    std::map<std::string, RouteEvidence> m_routes;
};

}
