#include "libserving/poisonsubjects.h"

#include <algorithm>

namespace Apricot {

std::vector<PoisonSubject> poisonSubjectsOf(Fingerprint request, const std::vector<PromptPart>& parts)
{
    constexpr std::size_t maxParts = 64;
    constexpr std::size_t maxNameLength = 64;
    std::vector<PoisonSubject> subjects { { request } };
    const std::size_t shared = parts.empty() ? 0 : std::min(parts.size() - 1, maxParts);
    for (std::size_t index = 0; index < shared; ++index) {
        const std::string& id = parts[index].id;
        const Fingerprint fingerprint = fingerprintOfPart(id);
        if (id.empty())
            continue;
        subjects.push_back({ fingerprint, id.size() <= maxNameLength ? id : "long-" + toText(fingerprint) });
    }
    return subjects;
}

}
