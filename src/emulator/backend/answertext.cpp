#include "answertext.h"

#include "libapricot/rendezvous.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace Apricot {

namespace {

    constexpr int defaultTokens = 16;

    std::string hexText(std::uint64_t value)
    {
        std::array<char, 17> text {};
        std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
        return text.data();
    }

    std::uint64_t sourceHash(const AnswerSource& source, std::uint64_t seed)
    {
        return stableHash(source.input, stableHash(source.stage, seed));
    }

}

std::uint64_t answerLength(const AnswerSource& source)
{
    if (source.stage != "generate")
        return 1;
    const auto most = static_cast<std::uint64_t>(
        source.maxTokens > 0 ? source.maxTokens : defaultTokens);
    return std::max<std::uint64_t>(1, most - sourceHash(source, 0) % (most / 2 + 1));
}

std::string answerToken(const AnswerSource& source, std::uint64_t index)
{
    const std::string digest = hexText(sourceHash(source, index + 1));
    if (source.stage == "generate")
        return digest.substr(0, 6) + " ";
    return source.stage + ":" + digest;
}

}
