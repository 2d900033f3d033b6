#include "libserving/engineplacement.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Parts but the last one, which is the request's own.
    std::size_t sharedCount(const CallerRequest& request)
    {
        return request.promptParts.empty() ? 0 : request.promptParts.size() - 1;
    }

    double sharedTokens(const CallerRequest& request)
    {
        double tokens = 0;
        for (std::size_t index = 0; index < sharedCount(request); ++index)
            tokens += request.promptParts[index].tokens;
        return tokens;
    }

    // What the engines are ranked by: the last shared part, or the request itself.
    std::uint64_t placementKey(const CallerRequest& request)
    {
        const std::size_t shared = sharedCount(request);
        return stableHash(shared == 0 ? request.id : request.promptParts[shared - 1].id);
    }

    double megabytesElsewhere(
        const std::map<FailureDomainId, double>& inputBytes, const FailureDomainId& domain)
    {
        constexpr double bytesPerMegabyte = 1e6;
        double bytes = 0;
        for (const auto& [place, count] : inputBytes) {
            if (place != domain)
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
    struct Ranked {
        bool isAvoided;
        double cost;
        std::uint64_t hash;
        const KnownServer* engine;
    };
    std::vector<Ranked> ranked;
    std::uint64_t first = 0;
    const std::uint64_t key = placementKey(request);
    for (const KnownServer* engine : engines) {
        const BackendServerId& id = engine->server.id;
        const std::uint64_t hash = stableHash(id.value(), key);
        const bool isAvoided = tracker.isAvoided(id, now);
        if (!isAvoided)
            first = std::max(first, hash);
        ranked.push_back({ isAvoided, 0, hash, engine });
    }
    const double shared = sharedTokens(request);
    for (Ranked& entry : ranked) {
        const BackendServerId& id = entry.engine->server.id;
        const auto memory = m_memories.find(id);
        double held = entry.hash == first ? m_options.expectedHit * shared : 0;
        double pending = 0;
        if (memory != m_memories.end()) {
            held = std::max(held, heldTokens(request, memory->second));
            pending = memory->second.pendingTokens;
        }
        entry.cost = request.promptTokens - held + m_options.pendingWeight * pending
            + m_options.runningTokens * tracker.inFlight(id)
            + m_options.crossingTokens * megabytesElsewhere(inputBytes, entry.engine->server.domain);
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& left, const Ranked& right) {
        if (left.isAvoided != right.isAvoided)
            return right.isAvoided;
        return left.cost != right.cost ? left.cost < right.cost : left.hash > right.hash;
    });
    std::vector<const KnownServer*> order;
    order.reserve(ranked.size());
    for (const Ranked& entry : ranked)
        order.push_back(entry.engine);
    return order;
}

void EnginePlacement::onSent(
    const CallerRequest& request, const BackendServerId& engine, double memoryTokens)
{
    Memory& memory = m_memories[engine];
    memory.pendingTokens += request.promptTokens;
    for (const PromptPart& part : request.promptParts)
        touch(memory, part, memoryTokens);
}

void EnginePlacement::onPromptRead(const CallerRequest& request, const BackendServerId& engine)
{
    const auto found = m_memories.find(engine);
    if (found == m_memories.end())
        return;
    double& pending = found->second.pendingTokens;
    pending = std::max(pending - request.promptTokens, 0.0);
}

void EnginePlacement::onMemoryLost(const BackendServerId& engine)
{
    const auto found = m_memories.find(engine);
    if (found == m_memories.end())
        return;
    const double pending = found->second.pendingTokens;
    found->second = { .pendingTokens = pending };
}

double EnginePlacement::heldTokens(const CallerRequest& request, const Memory& memory)
{
    double tokens = 0;
    for (const PromptPart& part : request.promptParts) {
        if (!memory.parts.contains(part.id))
            break;
        tokens += part.tokens;
    }
    return tokens;
}

void EnginePlacement::touch(Memory& memory, const PromptPart& part, double memoryTokens)
{
    const auto found = memory.parts.find(part.id);
    if (found != memory.parts.end()) {
        memory.order.splice(memory.order.end(), memory.order, found->second);
        return;
    }
    memory.parts[part.id] = memory.order.insert(memory.order.end(), part);
    memory.tokens += part.tokens;
    while (memory.tokens > memoryTokens && memory.order.size() > 1) {
        memory.tokens -= memory.order.front().tokens;
        memory.parts.erase(memory.order.front().id);
        memory.order.pop_front();
    }
}

}
