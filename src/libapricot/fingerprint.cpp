#include "libapricot/fingerprint.h"

#include "libapricot/rendezvous.h"

#include <array>
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

std::string toText(Fingerprint fingerprint)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, fingerprint);
    return text.data();
}

}
