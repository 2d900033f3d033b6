#include "libserving/streamorigin.h"

#include <algorithm>
#include <set>

namespace Apricot {

bool isRecordableRequestId(std::string_view id)
{
    constexpr std::size_t maxBytes = 128;
    return !id.empty() && id.size() <= maxBytes
        && std::all_of(id.begin(), id.end(), [](char character) { return character > ' ' && character <= '~'; });
}

std::optional<StreamOrigin> findOrigin(const PoolId& pool, const OriginKnowledge& own,
    const std::vector<OriginKnowledge>& peers, bool hasOtherHosts)
{
    std::vector<OriginKnowledge> all = peers;
    all.push_back(own);
    std::set<StreamOrigin> recorded;
    std::set<SoftwareVersion> soleVersions;
    bool hasSeveralVersions = false;
    for (const OriginKnowledge& knowledge : all) {
        if (knowledge.recorded)
            recorded.insert(*knowledge.recorded);
        if (knowledge.soleVersion)
            soleVersions.insert(*knowledge.soleVersion);
        hasSeveralVersions |= knowledge.hasSeveralVersions;
    }
    if (recorded.size() == 1 && !recorded.begin()->version.empty())
        return *recorded.begin();
    const bool isPeerSilent = hasOtherHosts && peers.empty();
    if (!recorded.empty() || hasSeveralVersions || soleVersions.size() != 1 || isPeerSilent)
        return std::nullopt;
    return StreamOrigin { pool, *soleVersions.begin() };
}

}
