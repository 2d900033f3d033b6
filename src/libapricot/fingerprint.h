#pragma once

#include "libapricot/identifier.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Apricot {

// Hash that identifies requests with the same content, whatever their IDs. The same on every host.
using Fingerprint = std::uint64_t;

// Fingerprint of a request to a pipeline.
Fingerprint fingerprintOf(const PipelineId& pipeline, std::string_view input);
// Fingerprint of a gateway request: its path with the query, its owner, and its body.
Fingerprint fingerprintOf(std::string_view target, const OwnerId& owner, std::string_view body);
// Fingerprint of a part of a prompt, by its ID.
Fingerprint fingerprintOfPart(std::string_view id);
// The fingerprint as 16 hexadecimal digits, as in logs.
std::string toText(Fingerprint fingerprint);
// The inverse of toText(), or nothing for any other text.
std::optional<Fingerprint> parseFingerprint(std::string_view text);

}
