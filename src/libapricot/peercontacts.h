#pragma once

#include "libapricot/cellstate.h"

#include <functional>
#include <map>
#include <set>

namespace Apricot {

// One process of a daemon; a restart gives another one.
struct ProcessId {
    HostId host;
    std::string incarnation;

    auto operator<=>(const ProcessId&) const = default;
};

ProcessId processOf(const Member& member);

// What the last answer of a peer told. Times are those of the question, so that an answer that lay
// undelivered counts no longer than it is true.
struct PeerContact {
    std::string incarnation;
    TimePoint askedAt {};
    ObjectVersion epoch = 0;
    ObjectVersion configRevision = 0;

    auto operator<=>(const PeerContact&) const = default;
};

// Which peers a daemon hears, which epoch each has acknowledged, and which processes are known gone.
class PeerContacts {
public:
    // Takes the answer to a question that was meant for a certain process. When another process of
    // the host answers, the one that was meant is gone: it was listed before the question was asked,
    // and a host runs one process at a time.
    void recordResponse(const ProcessId& addressee, const PeerContact& contact);
    // Takes the proof that a process is gone, such as a refused connection.
    void recordGone(const ProcessId& process);
    // Forgets proofs about processes that no cell state names any more.
    void evictGoneExcept(const std::set<ProcessId>& referenced);

    // Last contact with exactly this process.
    const PeerContact* find(const Member& member) const;
    bool isGone(const ProcessId& process) const;
    // Whether the process answered a question that was asked at or after an instant.
    bool hasRespondedSince(const Member& member, TimePoint instant) const;

private:
    std::map<HostId, PeerContact> m_contacts;
    std::set<ProcessId> m_gone;
};

// Whether more than half of the members satisfy a predicate.
bool isMajority(
    const std::vector<Member>& members, const std::function<bool(const Member&)>& predicate);

}
