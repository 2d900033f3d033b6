#include "libserving/receivedhandles.h"

#include <algorithm>

namespace Apricot {

bool ReceivedHandles::record(const ServerStart& server, const std::vector<PieceResult>& results)
{
    constexpr std::size_t maxHandles = 256;
    std::deque<std::string>& known = m_handles[server];
    const bool isRepeated = std::any_of(results.begin(), results.end(), [&known](const PieceResult& result) {
        return !result.handle.empty() && std::find(known.begin(), known.end(), result.handle) != known.end();
    });
    if (isRepeated)
        return false;
    for (const PieceResult& result : results) {
        if (!result.handle.empty())
            known.push_back(result.handle);
    }
    while (known.size() > maxHandles)
        known.pop_front();
    return true;
}

void ReceivedHandles::retain(const ServerDirectory& servers)
{
    std::erase_if(
        m_handles, [&servers](const auto& entry) { return !servers.all().contains(entry.first.server); });
}

}
