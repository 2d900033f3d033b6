#pragma once

#include "libserving/callerrequest.h"
#include "libserving/serverdirectory.h"
#include "libserving/servertracker.h"

#include <list>
#include <map>
#include <unordered_map>

namespace Apricot {

struct EnginePlacementOptions {
    // Weight of this host's own unread prompts at an engine; other hosts send there too.
    double pendingWeight = 2;
    // Tokens that one more running request counts for.
    double tokensPerRunningRequest = 150;
    // Part of the shared tokens that the engine which comes first for them is expected to hold.
    double expectedHitRatio = 0.7;
    // Tokens that a megabyte of inputs from another failure domain counts for.
    double tokensPerCrossDomainMegabyte = 370;
};

// Chooses the model engine for a request: where the shared parts of its prompt are likely in memory,
// as far as the load there allows. All hosts rank engines for a part alike, by rendezvous hashing,
// so that they meet at the same engine without talking.
class EnginePlacement {
public:
    explicit EnginePlacement(EnginePlacementOptions options = {});

    // Engines in order of preference. Avoided ones come last.
    // The inputs' bytes lie in the failure domains named.
    std::vector<const KnownServer*> rank(const CallerRequest& request,
        const std::vector<const KnownServer*>& engines,
        const std::map<FailureDomainId, double>& inputBytes, const ServerTracker& tracker,
        TimePoint now) const;

    // A request was sent to an engine whose memory holds so many tokens.
    void onSent(const CallerRequest& request, const BackendServerId& engine, double memoryTokens);
    // The engine has read the prompt, or never will.
    void onPromptRead(const CallerRequest& request, const BackendServerId& engine);
    // The engine lost its memory.
    void onMemoryLost(const BackendServerId& engine);

private:
    // Parts that one engine is believed to hold, least recently used first.
    struct EngineMemory {
        std::list<PromptPart> recency;
        std::unordered_map<std::string, std::list<PromptPart>::iterator> parts;
        double tokens = 0;
        double pendingTokens = 0;
    };

    static double cachedPrefixTokens(const CallerRequest& request, const EngineMemory& memory);
    static void touchPart(EngineMemory& memory, const PromptPart& part, double memoryTokens);

    EnginePlacementOptions m_options;
    std::map<BackendServerId, EngineMemory> m_memories;
};

}
