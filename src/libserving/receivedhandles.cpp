#include "libserving/receivedhandles.h"

#include <algorithm>

namespace Apricot {

bool ReceivedHandles::record(const ServerStart& server, const std::vector<PieceResult>& results)
{
    constexpr std::size_t maxResponses = 256;
    std::deque<std::string>& known = m_firstHandles[server];
    const bool isRepeated = std::any_of(results.begin(), results.end(), [&known](const PieceResult& result) {
        return !result.handle.empty() && std::find(known.begin(), known.end(), result.handle) != known.end();
    });
    if (isRepeated)
        return false;
    const auto first = std::find_if(
        results.begin(), results.end(), [](const PieceResult& result) { return !result.handle.empty(); });
    if (first != results.end())
        known.push_back(first->handle);
    if (known.size() > maxResponses)
        known.pop_front();
    return true;
}

void ReceivedHandles::retain(const ServerDirectory& servers)
{
    std::erase_if(
        m_firstHandles, [&servers](const auto& entry) { return !servers.all().contains(entry.first.server); });
}

}
