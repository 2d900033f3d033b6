#pragma once

#include <optional>
#include <string_view>

namespace Apricot {

// Returns why a request header, from its first line to its empty line, must be rejected, or nothing.
// Rejects whatever two HTTP parsers may parse differently, so that no request can be smuggled in the
// body of another one: folded lines, stray line breaks, whitespace before a colon, several or
// conflicting lengths, transfer codings other than chunked, and hosts that are missing or repeated.
std::optional<std::string_view> findHeaderError(std::string_view head);

}
