#pragma once

#include <cstdint>
#include <string>

namespace Apricot {

// The part of a run's request that determines its answer.
struct AnswerSource {
    std::string stage;
    std::string input;
    int maxTokens = 0;

    auto operator<=>(const AnswerSource&) const = default;
};

// Number of tokens of the answer; one for every stage other than "generate".
std::uint64_t answerLength(const AnswerSource& source);

// Token of the answer by its index. Equal sources give equal tokens in every process, so a resumed
// stream continues with the same text and a check can compare whole answers.
std::string answerToken(const AnswerSource& source, std::uint64_t index);

}
