#pragma once

#include "libapricot/clock.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace Apricot {

// A token in a backend server's event stream.
struct BackendToken {
    std::uint64_t index = 0;
    std::string text;

    auto operator<=>(const BackendToken&) const = default;
};

// Last event of a whole answer.
struct BackendDone {
    std::uint64_t tokens = 0;
    Milliseconds busy { 0 };

    auto operator<=>(const BackendDone&) const = default;
};

using BackendEvent = std::variant<BackendToken, BackendDone>;

// Thrown for an event that does not follow docs/DESIGN.md, "Backend server API".
class BackendEventError : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Parses the event stream of a run from pieces of any size. Accepts only the tokens that follow one
// another from the first one that was asked for, so that no token is lost or doubled unnoticed.
class BackendEventParser {
public:
    explicit BackendEventParser(std::uint64_t firstIndex);

    // Takes the next piece; returns the events that it completes. Throws BackendEventError.
    std::vector<BackendEvent> feed(std::string_view chunk);

private:
    BackendEvent parse(std::string_view json);

    std::uint64_t m_nextIndex;
    std::string m_partialLine;
};

}
