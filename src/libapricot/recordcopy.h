#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/identifier.h"
#include "libapricot/stagecall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// Result of a finished stage, the input of the next one.
struct StageResult {
    std::string stage;
    std::string text;

    auto operator<=>(const StageResult&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(stage, text); }
};

// The replicated part of a request's record. Followers store it, and a later coordinator resumes the
// request from it.
struct RecordCopy {
    RequestKey key;
    PipelineId pipeline;
    std::string input;
    // Process that wrote the copy, its epoch, and its revision, which rises with each write of the key.
    std::string coordinator;
    ObjectVersion epoch = 0;
    std::uint64_t revision = 0;
    std::vector<StageResult> results;
    // Tokens of the last stage, set once all stages have finished.
    std::vector<std::string> tokens;
    std::vector<StageCost> costs;
    // Whether any stage of the key may have been sent to a backend server.
    bool maybeSent = false;
    // Number of stages up to and including the last non-idempotent stage that may have been sent.
    std::uint32_t nonIdempotentStarted = 0;
    bool finished = false;

    auto operator<=>(const RecordCopy&) const = default;

    // Whether a non-idempotent stage may have been sent and its result is missing.
    bool isOutcomeUnknown() const { return results.size() < nonIdempotentStarted; }
    // Whether both copies have the same pipeline and input.
    bool hasSameBody(const RecordCopy& other) const;
    // Merges the copy of another process: its results if it has more of them, and what it may have
    // sent.
    void mergeFrom(const RecordCopy& other);
    // Approximate size in memory.
    std::size_t sizeBytes() const;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, pipeline, input, coordinator, epoch, revision, results, tokens, costs,
            maybeSent, nonIdempotentStarted, finished);
    }
};

// Response of a follower to a request to store a copy.
struct CopyResponse {
    // The follower has a copy from a newer coordinator, so the requesting one must not send attempts.
    bool superseded = false;
    // The follower currently runs the request itself.
    bool running = false;
    // The follower has been one of the key's first three hosts for the whole retention time.
    bool complete = false;
    // Whether the follower had a copy from another coordinator, and that copy.
    bool found = false;
    RecordCopy copy;
    // Process that responded; empty if none did.
    HostId host;
    std::string incarnation;

    auto operator<=>(const CopyResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(superseded, running, complete, found, copy, host, incarnation);
    }
};

// Merges the responses of several followers about one key into one.
CopyResponse mergeResponses(const std::vector<CopyResponse>& responses);

}
