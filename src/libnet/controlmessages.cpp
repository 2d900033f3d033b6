#include "libnet/controlmessages.h"

namespace Apricot {

std::vector<PrefixRevision> prefixRevisions(const ConfigStore& store)
{
    std::vector<PrefixRevision> revisions;
    for (const std::string& prefix : ConfigStore::prefixes())
        revisions.push_back({ .prefix = prefix, .revision = store.revision(prefix) });
    return revisions;
}

}
