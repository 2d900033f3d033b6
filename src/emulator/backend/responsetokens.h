#pragma once

#include <cstdint>
#include <string>

namespace Apricot {

// Parameters of a run that determine its response.
struct ResponseParameters {
    std::string stage;
    std::string input;
    int maxTokens = 0;

    auto operator<=>(const ResponseParameters&) const = default;
};

// Number of tokens in the response: one for every stage except "generate".
std::uint64_t responseTokenCount(const ResponseParameters& parameters);

// Token of the response at an index. Equal parameters give equal tokens in every process, so a
// resumed stream continues with the same text and checks can compare complete responses.
std::string responseToken(const ResponseParameters& parameters, std::uint64_t index);

}
