#pragma once

#include <cstdint>
#include <string>

namespace Apricot {

// The part of a run's request that determines its answer.
struct ResponseParameters {
    std::string stage;
    std::string input;
    int maxTokens = 0;

    auto operator<=>(const ResponseParameters&) const = default;
};

// Number of tokens of the answer; one for every stage other than "generate".
std::uint64_t responseTokenCount(const ResponseParameters& parameters);

// Token of the answer by its index. Equal sources give equal tokens in every process, so a resumed
// stream continues with the same text and a check can compare whole answers.
std::string responseToken(const ResponseParameters& parameters, std::uint64_t index);

}
