#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

enum class MemberState {
    Live,
    // Stopping gracefully: accepts no new work and hands its replicas over.
    Leaving,
};

// A dispatch daemon as a member of its cell. Every start of the process has another incarnation.
struct Member {
    HostId host;
    std::string incarnation;
    FailureDomainId failureDomain;
    std::string address;
    std::uint16_t port = 0;
    MemberState state = MemberState::Live;

    auto operator<=>(const Member&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(host, incarnation, failureDomain, address, port, state);
    }
};

// The daemon that is home of a replica, and the process that it replaced without a hand-over.
struct HomeAssignment {
    HostId home;
    std::string incarnation;
    // Epoch in which this home was assigned. It is the fencing number of the home's orders.
    ObjectVersion since = 0;
    // Earlier home that has not confirmed that it stopped; empty after a hand-over.
    HostId unconfirmedHome;
    std::string unconfirmedIncarnation;

    auto operator<=>(const HomeAssignment&) const = default;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(home, incarnation, since, unconfirmedHome, unconfirmedIncarnation);
    }
};

// Value of the platform object cells/<cell>. Its version is the epoch.
struct CellState {
    std::vector<Member> members;
    // Members that were removed as unresponsive and may still be running. They stay listed until
    // they are confirmed to have stopped using each replica that they were home of.
    std::vector<Member> removed;
    // Epoch not later than that of the last join or removal of an unresponsive member. The next
    // such change waits until more than half of the members know this epoch.
    ObjectVersion membersSince = 0;
    std::map<BackendServerId, HomeAssignment> homes;
    HostId writer;
    std::string writerIncarnation;
    std::uint64_t renewals = 0;

    auto operator<=>(const CellState&) const = default;

    const Member* findMember(const HostId& host) const;
    // Member on this host, or nullptr if it is another process.
    const Member* findProcess(const HostId& host, const std::string& incarnation) const;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(members, removed, membersSince, homes, writer, writerIncarnation, renewals);
    }
};

}
