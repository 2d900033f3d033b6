#pragma once

#include <optional>
#include <string_view>

namespace Apricot {

// Why a request's header, from its first line to its empty line, must not be served, or nothing. It
// rejects what two HTTP parsers may read differently, so that no request can hide in another's body:
// folded lines, stray line breaks, space before a colon, several or conflicting lengths, transfer
// codings other than chunked, and hosts that are missing or repeated.
std::optional<std::string_view> findHeaderError(std::string_view head);

}
