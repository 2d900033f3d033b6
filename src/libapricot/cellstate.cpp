#include "libapricot/cellstate.h"

#include <algorithm>

namespace Apricot {

const Member* CellState::findMember(const HostId& host) const
{
    const auto found = std::find_if(members.begin(), members.end(),
        [&host](const Member& member) { return member.host == host; });
    return found == members.end() ? nullptr : &*found;
}

const Member* CellState::findProcess(const HostId& host, const std::string& incarnation) const
{
    const Member* member = findMember(host);
    return member && member->incarnation == incarnation ? member : nullptr;
}

}
