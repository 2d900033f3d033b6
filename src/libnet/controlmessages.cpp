#include "libnet/controlmessages.h"

namespace Apricot {

std::vector<PrefixRevision> prefixRevisions(const ConfigStore& store)
{
    std::vector<PrefixRevision> marks;
    for (const std::string& prefix : ConfigStore::prefixes())
        marks.push_back({ .prefix = prefix, .revision = store.revision(prefix) });
    return marks;
}

}
