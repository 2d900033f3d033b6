#pragma once

#include "libapricot/catalogue.h"
#include "libapricot/identifier.h"
#include "libapricot/stagecall.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Apricot {

// Result of a finished stage, which is the input of the next one.
struct StageResult {
    std::string stage;
    std::string text;

    auto operator<=>(const StageResult&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(stage, text); }
};

// The part of a request's record that outlives its coordinator: what a follower keeps and what a
// later coordinator resumes from.
struct RecordCopy {
    RequestKey key;
    PipelineId pipeline;
    std::string input;
    // Process that wrote the copy, its epoch, and its count of writes for this key.
    std::string coordinator;
    ObjectVersion epoch = 0;
    std::uint64_t revision = 0;
    std::vector<StageResult> results;
    // Tokens of the last stage, once all stages have finished.
    std::vector<std::string> tokens;
    std::vector<StageCost> costs;
    // Whether any stage of the key may have been sent to a backend server.
    bool maybeSent = false;
    // Number of stages up to and including the last non-idempotent one that may have been sent.
    std::uint32_t nonIdempotentStarted = 0;
    bool finished = false;

    auto operator<=>(const RecordCopy&) const = default;

    // Whether a non-idempotent stage may have been sent whose result is missing.
    bool isOutcomeUnknown() const { return results.size() < nonIdempotentStarted; }
    // Whether both copies are of the same pipeline and input.
    bool hasSameBody(const RecordCopy& other) const;
    // Adds what another process's copy knows: its results if it has more of them, and all that it
    // may have sent.
    void mergeFrom(const RecordCopy& other);
    // Rough size in memory.
    std::size_t sizeBytes() const;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(key, pipeline, input, coordinator, epoch, revision, results, tokens, costs,
            maybeSent, nonIdempotentStarted, finished);
    }
};

// What a follower answers when it is asked to keep a copy.
struct CopyResponse {
    // The follower has a copy of a newer coordinator, so the asking one must send nothing.
    bool superseded = false;
    // The follower itself runs the request at this moment.
    bool running = false;
    // The follower has been one of the key's first three hosts for as long as records are kept.
    bool complete = false;
    // Whether the follower had a copy of another coordinator, and that copy.
    bool found = false;
    RecordCopy copy;
    // Process that answers; empty when nobody did.
    HostId host;
    std::string incarnation;

    auto operator<=>(const CopyResponse&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(superseded, running, complete, found, copy, host, incarnation);
    }
};

// The answers of several followers about one key, as if one had given them.
CopyResponse mergeResponses(const std::vector<CopyResponse>& responses);

// Hash of a request's pipeline and input, by which crashes are counted.
using Fingerprint = std::uint64_t;
Fingerprint fingerprintOf(const PipelineId& pipeline, const std::string& input);

}
