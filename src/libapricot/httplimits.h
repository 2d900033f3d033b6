#pragma once

#include "libapricot/clock.h"

#include <compare>
#include <cstddef>

namespace Apricot {

// Limits on the size and duration of requests. A timeout of zero means that none is stated; see HttpRequestReader.
struct HttpLimits {
    std::size_t headerBytes = 65'536;
    std::size_t bodyBytes = 1'048'576;
    // From a request's first byte to the end of its header.
    Milliseconds headerTimeout { 0 };
    // Between two requests on a connection, and between two parts of a body or of a response.
    Milliseconds idleTimeout { 0 };

    auto operator<=>(const HttpLimits&) const = default;
};

}
