#include "libapricot/peercontacts.h"

#include <algorithm>

namespace Apricot {

ProcessId processOf(const Member& member)
{
    return { .host = member.host, .incarnation = member.incarnation };
}

void PeerContacts::recordResponse(const ProcessId& addressee, const PeerContact& contact)
{
    if (contact.incarnation != addressee.incarnation)
        m_gone.insert(addressee);
    if (isGone({ addressee.host, contact.incarnation }))
        return;
    PeerContact& known = m_contacts[addressee.host];
    if (contact.requestSentAt < known.requestSentAt)
        return;
    const bool isSameProcess = known.incarnation == contact.incarnation;
    const ObjectVersion epoch = isSameProcess ? std::max(known.epoch, contact.epoch) : contact.epoch;
    known = contact;
    known.epoch = epoch;
}

void PeerContacts::recordGone(const ProcessId& process)
{
    m_gone.insert(process);
}

void PeerContacts::evictGoneExcept(const std::set<ProcessId>& referenced)
{
    std::erase_if(
        m_gone, [&referenced](const ProcessId& process) { return !referenced.contains(process); });
}

const PeerContact* PeerContacts::find(const Member& member) const
{
    const auto found = m_contacts.find(member.host);
    if (found == m_contacts.end() || found->second.incarnation != member.incarnation)
        return nullptr;
    return &found->second;
}

bool PeerContacts::isGone(const ProcessId& process) const
{
    return m_gone.contains(process);
}

bool PeerContacts::hasRespondedSince(const Member& member, TimePoint instant) const
{
    const PeerContact* contact = find(member);
    return contact && contact->requestSentAt >= instant;
}

bool isMajority(
    const std::vector<Member>& members, const std::function<bool(const Member&)>& predicate)
{
    const auto count = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), predicate));
    return count * 2 > members.size();
}

}
