#include "libserving/rollout/rolloutevidence.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

    constexpr unsigned serverBits = 64;
    constexpr double bucketsPerDoubling = 2;
    constexpr const char* otherRoutes = "(other routes)";

}

void AnswerCounts::recordFailure(const BackendServerId& server)
{
    ++answers;
    ++failures;
    failedServers |= std::uint64_t(1) << (stableHash(server.value()) % serverBits);
}

void AnswerCounts::recordSuccess(std::optional<Duration> duration)
{
    ++answers;
    if (!duration)
        return;
    const double milliseconds = std::max(inMilliseconds(*duration), 1.0);
    const auto bucket = static_cast<std::size_t>(std::log2(milliseconds) * bucketsPerDoubling);
    ++durations[std::min(bucket, durationBuckets - 1)];
}

void AnswerCounts::add(const AnswerCounts& other)
{
    answers += other.answers;
    failures += other.failures;
    failedServers |= other.failedServers;
    for (std::size_t bucket = 0; bucket < durationBuckets; ++bucket)
        durations[bucket] += other.durations[bucket];
}

RouteEvidence& RolloutEvidence::route(const std::string& name)
{
    const auto found = m_routes.find(name);
    if (found != m_routes.end())
        return found->second;
    return m_routes[m_routes.size() + 1 < maxRoutes ? name : otherRoutes];
}

void RolloutEvidence::add(const RolloutEvidence& other)
{
    for (const auto& [name, evidence] : other.m_routes) {
        RouteEvidence& own = route(name);
        own.target.add(evidence.target);
        own.replaced.add(evidence.replaced);
    }
}

RouteEvidence RolloutEvidence::total() const
{
    RouteEvidence sum;
    for (const auto& [name, evidence] : m_routes) {
        sum.target.add(evidence.target);
        sum.replaced.add(evidence.replaced);
    }
    return sum;
}

}
