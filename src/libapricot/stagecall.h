#pragma once

#include "libapricot/attempt.h"
#include "libapricot/catalogue.h"

#include <cstdint>
#include <string>

namespace Apricot {

// One attempt of a stage, as it goes to the home of a replica.
struct StageCall {
    AttemptId attempt;
    BackendServerId server;
    StageKind kind = StageKind::Generate;
    ServiceClass serviceClass = ServiceClass::Standard;
    OwnerId owner;
    std::string input;
    int maxTokens = 0;
    // First token that is still needed, when a cut stream is resumed.
    std::uint64_t resumeFrom = 0;
    // What is left for this attempt when the call leaves.
    Milliseconds budget { 0 };
    bool idempotent = true;
    // A suspect runs alone on its server, so that its crash condemns no other request.
    bool alone = false;

    auto operator<=>(const StageCall&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, server, kind, serviceClass, owner, input, maxTokens, resumeFrom, budget,
            idempotent, alone);
    }
};

enum class StageEnd {
    Finished,
    // The home gave the attempt no place; nothing was sent.
    Rejected,
    // The backend server failed or its connection broke after the send.
    Failed,
    // The server's process went away while it ran the attempt.
    Crashed,
    TimedOut,
    Cancelled,
};

// How one attempt ended, with what its home knows of the server's load.
struct StageOutcome {
    AttemptId attempt;
    StageEnd end = StageEnd::Finished;
    // Whether any byte may have reached the backend server.
    bool sent = false;
    std::string result;
    std::uint64_t tokens = 0;
    // Time that the server was busy with the attempt.
    Milliseconds busy { 0 };
    Milliseconds retryAfter { 0 };
    // The home's queue in front of the server after this attempt, and how many it may carry.
    int load = 0;
    int cap = 0;

    auto operator<=>(const StageOutcome&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, end, sent, result, tokens, busy, retryAfter, load, cap);
    }
};

// What one stage of a request cost, with wasted work apart.
struct StageCost {
    std::string stage;
    Milliseconds busy { 0 };
    Milliseconds wasted { 0 };
    std::uint64_t tokens = 0;
    int attempts = 0;

    auto operator<=>(const StageCost&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(stage, busy, wasted, tokens, attempts); }
};

}
