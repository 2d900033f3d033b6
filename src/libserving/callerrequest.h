#pragma once

#include "libapricot/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

// A part of a prompt that other requests may share.
struct PromptPart {
    std::string id;
    double tokens = 0;

    auto operator<=>(const PromptPart&) const = default;
};

// What a caller's header says of its request, decoded.
struct CallerRequest {
    // Identity of this attempt of the caller.
    std::string id;
    // How long the caller will wait; nothing when it did not say.
    std::optional<Milliseconds> timeout;
    // Key of an owner, or empty.
    std::string apiKey;
    std::string model;
    double promptTokens = 0;
    double outputTokens = 0;
    // In the order of the prompt.
    std::vector<PromptPart> promptParts;
    // Pieces of each stage; zero leaves a stage out.
    std::vector<int> stagePieces;
    // Names the request's input to the stages that read no other stage.
    std::string pieceKey;
    // Last event that the caller has of an earlier stream, or empty.
    std::string lastEventId;

    auto operator<=>(const CallerRequest&) const = default;
};

}
