#pragma once

#include "libserving/callerrequest.h"
#include "libserving/serverdirectory.h"
#include "libserving/servertracker.h"

#include <list>
#include <map>
#include <unordered_map>

namespace Apricot {

struct EnginePlacementOptions {
    // Weight of prompt tokens that this host has sent to an engine and the engine has not read yet. Above 1
    // because other hosts send prompts to the same engine.
    double pendingWeight = 2;
    // Cost of each request in flight at an engine, in prompt tokens.
    double tokensPerRunningRequest = 150;
    // Share of the shared prompt tokens that the engine with the highest rank for them is expected to hold.
    double expectedHitRatio = 0.7;
    // Cost of a megabyte of inputs read from another failure domain, in prompt tokens.
    double tokensPerCrossDomainMegabyte = 370;
};

// Chooses the model engine for a request. Prefers the engine that likely holds the shared parts of the
// prompt in memory, unless its load makes another engine cheaper. All hosts rank engines for a part by
// the same rendezvous hash, so they choose the same engine without communicating.
class EnginePlacement {
public:
    explicit EnginePlacement(EnginePlacementOptions options = {});

    // Returns the engines in order of preference, those that the tracker avoids last. `inputBytes` are the
    // bytes of stage results to read from each failure domain.
    std::vector<const KnownServer*> rank(const CallerRequest& request,
        const std::vector<const KnownServer*>& engines,
        const std::map<FailureDomainId, double>& inputBytes, const ServerTracker& tracker,
        TimePoint now) const;

    // Reports that a request was sent to an engine; `memoryTokens` is the capacity of its memory.
    void onSent(const CallerRequest& request, const BackendServerId& engine, double memoryTokens);
    // Reports that the engine has read the prompt or that the request ended before.
    void onPromptRead(const CallerRequest& request, const BackendServerId& engine);
    // Reports that the engine's memory is empty, for example after a restart.
    void onMemoryLost(const BackendServerId& engine);

private:
    // Estimated contents of an engine's memory, from the requests that this host has sent.
    struct EngineMemory {
        // Least recently used first.
        std::list<PromptPart> recency;
        std::unordered_map<std::string, std::list<PromptPart>::iterator> parts;
        double tokens = 0;
        // Prompt tokens that were sent and not read yet.
        double pendingTokens = 0;
    };

    static double cachedPrefixTokens(const CallerRequest& request, const EngineMemory& memory);
    static void markUsed(EngineMemory& memory, const PromptPart& part, double memoryTokens);

    EnginePlacementOptions m_options;
    std::map<BackendServerId, EngineMemory> m_memories;
};

}
