#include "libserving/engineplacement.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Number of shareable parts: all but the last one, which belongs to this request alone.
    std::size_t sharedPartCount(const CallerRequest& request)
    {
        return request.promptParts.empty() ? 0 : request.promptParts.size() - 1;
    }

    double sharedTokens(const CallerRequest& request)
    {
        double tokens = 0;
        for (std::size_t index = 0; index < sharedPartCount(request); ++index)
            tokens += request.promptParts[index].tokens;
        return tokens;
    }

    // Hash key for ranking the engines: the last shared part, or the request ID when there is none.
    std::uint64_t placementKey(const CallerRequest& request)
    {
        const std::size_t sharedParts = sharedPartCount(request);
        return stableHash(sharedParts == 0 ? request.id : request.promptParts[sharedParts - 1].id);
    }

    double megabytesFromOtherDomains(
        const std::map<FailureDomainId, double>& inputBytes, const FailureDomainId& domain)
    {
        constexpr double bytesPerMegabyte = 1e6;
        double bytes = 0;
        for (const auto& [inputDomain, count] : inputBytes) {
            if (inputDomain != domain)
                bytes += count;
        }
        return bytes / bytesPerMegabyte;
    }

}

EnginePlacement::EnginePlacement(EnginePlacementOptions options)
    : m_options(options)
{
}

std::vector<const KnownServer*> EnginePlacement::rank(const CallerRequest& request,
    const std::vector<const KnownServer*>& engines,
    const std::map<FailureDomainId, double>& inputBytes, const ServerTracker& tracker,
    TimePoint now) const
{
    struct RankedEngine {
        bool isAvoided;
        double cost;
        std::uint64_t hash;
        const KnownServer* engine;
    };
    std::vector<RankedEngine> ranked;
    std::uint64_t highestHash = 0;
    const std::uint64_t requestKey = placementKey(request);
    for (const KnownServer* engine : engines) {
        const BackendServerId& id = engine->server.id;
        const std::uint64_t hash = stableHash(id.value(), requestKey);
        const bool isAvoided = tracker.isAvoided(id, now);
        if (!isAvoided)
            highestHash = std::max(highestHash, hash);
        ranked.push_back({ isAvoided, 0, hash, engine });
    }
    const double sharedTokenCount = sharedTokens(request);
    for (RankedEngine& entry : ranked) {
        const BackendServerId& id = entry.engine->server.id;
        const auto memory = m_memories.find(id);
        double cachedTokens = entry.hash == highestHash ? m_options.expectedHitRatio * sharedTokenCount : 0;
        double pendingTokens = 0;
        if (memory != m_memories.end()) {
            cachedTokens = std::max(cachedTokens, cachedPrefixTokens(request, memory->second));
            pendingTokens = memory->second.pendingTokens;
        }
        entry.cost = request.promptTokens - cachedTokens + m_options.pendingWeight * pendingTokens
            + m_options.tokensPerRunningRequest * tracker.inFlight(id)
            + m_options.tokensPerCrossDomainMegabyte
                * megabytesFromOtherDomains(inputBytes, entry.engine->server.domain);
    }
    std::sort(ranked.begin(), ranked.end(), [](const RankedEngine& left, const RankedEngine& right) {
        if (left.isAvoided != right.isAvoided)
            return right.isAvoided;
        return left.cost != right.cost ? left.cost < right.cost : left.hash > right.hash;
    });
    std::vector<const KnownServer*> order;
    order.reserve(ranked.size());
    for (const RankedEngine& entry : ranked)
        order.push_back(entry.engine);
    return order;
}

void EnginePlacement::onSent(
    const CallerRequest& request, const BackendServerId& engine, double memoryTokens)
{
    EngineMemory& memory = m_memories[engine];
    memory.pendingTokens += request.promptTokens;
    for (const PromptPart& part : request.promptParts)
        markUsed(memory, part, memoryTokens);
}

void EnginePlacement::onPromptRead(const CallerRequest& request, const BackendServerId& engine)
{
    const auto found = m_memories.find(engine);
    if (found == m_memories.end())
        return;
    double& pendingTokens = found->second.pendingTokens;
    pendingTokens = std::max(pendingTokens - request.promptTokens, 0.0);
}

void EnginePlacement::onMemoryLost(const BackendServerId& engine)
{
    const auto found = m_memories.find(engine);
    if (found == m_memories.end())
        return;
    const double pendingTokens = found->second.pendingTokens;
    found->second = { .pendingTokens = pendingTokens };
}

double EnginePlacement::cachedPrefixTokens(const CallerRequest& request, const EngineMemory& memory)
{
    double tokens = 0;
    for (const PromptPart& part : request.promptParts) {
        if (!memory.parts.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void EnginePlacement::markUsed(EngineMemory& memory, const PromptPart& part, double memoryTokens)
{
    const auto found = memory.parts.find(part.id);
    if (found != memory.parts.end()) {
        memory.recency.splice(memory.recency.end(), memory.recency, found->second);
        return;
    }
    memory.parts[part.id] = memory.recency.insert(memory.recency.end(), part);
    memory.tokens += part.tokens;
    while (memory.tokens > memoryTokens && memory.recency.size() > 1) {
        memory.tokens -= memory.recency.front().tokens;
        memory.parts.erase(memory.recency.front().id);
        memory.recency.pop_front();
    }
}

}
