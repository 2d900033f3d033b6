#pragma once

#include "libapricot/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// A part of a prompt. Requests whose prompts begin with the same parts can share them.
struct PromptPart {
    std::string id;
    double tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

// Largest number of pieces of a stage. Each one takes memory of the stage's home before it is made.
constexpr int maxStagePieces = 4096;

// A caller's request as decoded from its headers.
struct CallerRequest {
    // Identifies this attempt of the caller.
    std::string id;
    // How long the caller waits for a response; not set when its header has no timeout.
    std::optional<Milliseconds> timeout;
    // API key of an owner; empty when the caller sent none.
    std::string apiKey;
    std::string model;
    double promptTokens = 0;
    double outputTokens = 0;
    // In the order of the prompt.
    std::vector<PromptPart> promptParts;
    // Number of pieces of each stage; a stage with zero pieces is skipped.
    std::vector<int> stagePieces;
    // Key of the input that is passed to the stages that read no other stage.
    std::string pieceKey;
    // ID of the last event that the caller received from an earlier stream, or empty.
    std::string lastEventId;
    // ID of the caller's attempt that brought the first event of that stream, or empty.
    std::string resumedRequestId;

    auto operator<=>(const CallerRequest&) const = default;
};

}
