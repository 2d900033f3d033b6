#include "libapricot/fingerprint.h"

#include "libapricot/rendezvous.h"

#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>

namespace Apricot {

Fingerprint fingerprintOf(const PipelineId& pipeline, std::string_view input)
{
    return stableHash(input, stableHash(pipeline.value()));
}

Fingerprint fingerprintOf(std::string_view target, const OwnerId& owner, std::string_view body)
{
    return stableHash(body, stableHash(owner.value(), stableHash(target)));
}

Fingerprint fingerprintOfPart(std::string_view id)
{
    return stableHash(id, stableHash("prompt part"));
}

std::string toText(Fingerprint fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
    return text.data();
}

std::optional<Fingerprint> parseFingerprint(std::string_view text)
{
    constexpr std::size_t digits = 16;
    constexpr int hexadecimal = 16;
    Fingerprint fingerprint = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data(), end, fingerprint, hexadecimal);
    if (text.size() != digits || error != std::errc() || parsed != end)
        return std::nullopt;
    return fingerprint;
}

}
