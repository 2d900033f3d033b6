#pragma once

#include "libapricot/attempt.h"
#include "libapricot/catalogue.h"

#include <cstdint>
#include <string>

namespace Apricot {

// Call of one attempt of a stage, sent to the home of a replica.
struct StageCall {
    AttemptId attempt;
    BackendServerId server;
    StageKind kind = StageKind::Generate;
    ServiceClass serviceClass = ServiceClass::Standard;
    OwnerId owner;
    std::string input;
    int maxTokens = 0;
    // Index of the first token that is still needed when an interrupted stream is resumed.
    std::uint64_t resumeFrom = 0;
    // Time remaining for this attempt when the call is sent.
    Milliseconds budget { 0 };
    bool idempotent = true;
    // Run no other request on the server at the same time. Set for poison suspects, so that a crash can
    // be attributed to this request.
    bool isExclusive = false;

    auto operator<=>(const StageCall&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, server, kind, serviceClass, owner, input, maxTokens, resumeFrom, budget,
            idempotent, isExclusive);
    }
};

enum class StageEndReason {
    Finished,
    // The home had no slot for the attempt; nothing was sent.
    Rejected,
    // The backend server failed or its connection broke after the send.
    Failed,
    // The server's process exited while it ran the attempt.
    Crashed,
    TimedOut,
    Cancelled,
};

// Outcome of one attempt, with the server's load as known to its home.
struct StageOutcome {
    AttemptId attempt;
    StageEndReason end = StageEndReason::Finished;
    // Whether any byte may have reached the backend server.
    bool sent = false;
    std::string result;
    std::uint64_t tokens = 0;
    // Time that the server was busy with the attempt.
    Milliseconds busy { 0 };
    Milliseconds retryAfter { 0 };
    // Attempts in flight and queued for the server at its home after this one ended, and the server's
    // cap.
    int load = 0;
    int cap = 0;

    auto operator<=>(const StageOutcome&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, end, sent, result, tokens, busy, retryAfter, load, cap);
    }
};

// Cost of one stage of a request; wasted time is not included in busy.
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
