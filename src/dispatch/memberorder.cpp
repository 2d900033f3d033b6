#include "dispatch/memberorder.h"

#include "libapricot/rendezvous.h"

namespace Apricot {

std::vector<Member> rankLiveMembers(const ControlView& view, const std::string& key)
{
    std::vector<HostId> hosts;
    for (const Member& member : view.cell->members) {
        if (member.state == MemberState::Live)
            hosts.push_back(member.host);
    }
    std::vector<Member> members;
    for (const HostId& host : rankHosts(key, hosts))
        members.push_back(*view.cell->findMember(host));
    return members;
}

std::optional<PeerEndpoint> findEndpoint(const ControlView& view, const HostId& host)
{
    const Member* member = view.cell->findMember(host);
    if (!member)
        return std::nullopt;
    return PeerEndpoint { .address = member->address, .port = member->port };
}

}
