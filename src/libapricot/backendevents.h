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

// Last event of a complete response.
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

// Parses the event stream of a run from chunks of any size. Token indices must be consecutive from
// the first requested one, so that a lost or duplicated token is detected.
class BackendEventParser {
public:
    explicit BackendEventParser(std::uint64_t firstIndex);

    // Parses the next chunk and returns the events that it completes. Throws BackendEventError.
    std::vector<BackendEvent> feed(std::string_view chunk);

private:
    BackendEvent parse(std::string_view json);

    std::uint64_t m_nextIndex;
    std::string m_partialLine;
};

}
