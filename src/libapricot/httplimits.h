#pragma once

#include "libapricot/clock.h"

#include <compare>
#include <cstddef>

namespace Apricot {

// What a caller may send, and how long it may take. A time of zero is no bound.
struct HttpLimits {
    std::size_t headerBytes = 65'536;
    std::size_t bodyBytes = 1'048'576;
    // From a request's first byte to the end of its header.
    Milliseconds headerTimeout { 0 };
    // Between two requests of a connection, and for the whole of a body.
    Milliseconds idleTimeout { 0 };

    auto operator<=>(const HttpLimits&) const = default;
};

}
