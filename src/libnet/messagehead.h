#pragma once

#include <optional>
#include <string_view>

namespace Apricot {

// Returns why a request header, from its first line to its empty line, must be rejected, or nothing.
// Rejects whatever two HTTP parsers may parse differently, so that no request can be smuggled in the
// body of another one: folded lines, stray line breaks, whitespace before a colon, several or
// conflicting lengths, transfer codings other than chunked, and hosts that are missing or repeated.
std::optional<std::string_view> findRequestHeadError(std::string_view head);

// Returns why a response header, from its first line to its empty line, must be rejected, or nothing. Rejects lines that
// two HTTP parsers may parse differently: a folded line hides a field in the value of the one before. Rejects transfer
// codings other than chunked, which no request asks for, and whose names are not forwarded with the body.
std::optional<std::string_view> findResponseHeadError(std::string_view head);

// Whether a status is final and of a class that HTTP defines: 200 to 599 (RFC 9110, section 15).
bool isFinalStatus(int status);

}
