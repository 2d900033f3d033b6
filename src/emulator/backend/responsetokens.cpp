#include "responsetokens.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Apricot {

namespace {

    constexpr int defaultTokens = 16;

    std::string toHex(std::uint64_t value)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
        return text.data();
    }

    std::uint64_t parameterHash(const ResponseParameters& parameters, std::uint64_t seed)
    {
        return stableHash(parameters.input, stableHash(parameters.stage, seed));
    }

}

std::uint64_t responseTokenCount(const ResponseParameters& parameters)
{
    if (parameters.stage != "generate")
        return 1;
    const auto tokenLimit = static_cast<std::uint64_t>(
        parameters.maxTokens > 0 ? parameters.maxTokens : defaultTokens);
    return std::max<std::uint64_t>(
        1, tokenLimit - parameterHash(parameters, 0) % (tokenLimit / 2 + 1));
}

std::string responseToken(const ResponseParameters& parameters, std::uint64_t index)
{
    const std::string digest = toHex(parameterHash(parameters, index + 1));
    if (parameters.stage == "generate")
        return digest.substr(0, 6) + " ";
    return parameters.stage + ":" + digest;
}

}
