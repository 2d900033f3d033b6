#pragma once

#include "libapricot/cellstate.h"

#include <functional>
#include <map>
#include <set>

namespace Apricot {

// Identifies one process of a daemon. Every restart gives a new incarnation.
struct ProcessId {
    HostId host;
    std::string incarnation;

    auto operator<=>(const ProcessId&) const = default;
};

ProcessId processOf(const Member& member);

// Content of the last response of a peer. Times are those of the request, so that a response that
// was delivered late does not count as newer than it is.
struct PeerContact {
    std::string incarnation;
    TimePoint requestSentAt {};
    ObjectVersion epoch = 0;
    ObjectVersion configRevision = 0;

    auto operator<=>(const PeerContact&) const = default;
};

// Which peers respond to a daemon, which epoch each has acknowledged, and which processes are known
// to be gone.
class PeerContacts {
public:
    // Records the response to a request that was addressed to a particular process. If another
    // process of the host responds, the addressed one is gone: it was listed before the request was
    // sent, and a host runs one process at a time.
    void recordResponse(const ProcessId& addressee, const PeerContact& contact);
    // Records proof that a process is gone, such as a refused connection.
    void recordGone(const ProcessId& process);
    // Evicts gone processes that no cell state refers to any more.
    void evictGoneExcept(const std::set<ProcessId>& referenced);

    // Last contact with exactly this process.
    const PeerContact* find(const Member& member) const;
    bool isGone(const ProcessId& process) const;
    // Whether the process responded to a request sent at or after the given time.
    bool hasRespondedSince(const Member& member, TimePoint instant) const;

private:
    std::map<HostId, PeerContact> m_contacts;
    std::set<ProcessId> m_gone;
};

// Whether more than half of the members satisfy a predicate.
bool isMajority(
    const std::vector<Member>& members, const std::function<bool(const Member&)>& predicate);

}
