#include "libnet/controlmessages.h"

namespace Apricot {

std::vector<ConfigMark> configMarks(const ConfigStore& store)
{
    std::vector<ConfigMark> marks;
    for (const std::string& prefix : ConfigStore::prefixes())
        marks.push_back({ .prefix = prefix, .revision = store.revision(prefix) });
    return marks;
}

}
