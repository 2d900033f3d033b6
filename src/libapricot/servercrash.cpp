#include "libapricot/servercrash.h"

namespace Apricot {

std::string partNames(const std::vector<PoisonSubject>& subjects)
{
    constexpr std::size_t maxLength = 400;
    std::string names;
    for (const PoisonSubject& subject : subjects) {
        if (!subject.isPart())
            continue;
        if (!names.empty())
            names += ',';
        if (names.size() + subject.part.size() > maxLength)
            return names + "...";
        names += subject.part;
    }
    return names;
}

}
