#pragma once

#include "libapricot/catalogue.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Apricot {

enum class MemberState {
    Live,
    // Stopping gracefully: takes no new work and gives its replicas away.
    Leaving,
};

// A dispatch daemon in its cell. The incarnation differs for every start of the process.
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

// Which daemon is home of a replica, and from which process it took over without a hand-over.
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
    // Members that were removed while silent and may still be running. They stay listed until each
    // replica that they were home of is confirmed.
    std::vector<Member> removed;
    // No later than the epoch of the last join or silent removal. The next one waits until more than
    // half of the members know this one.
    ObjectVersion membersSince = 0;
    std::map<BackendServerId, HomeAssignment> homes;
    HostId writer;
    std::string writerIncarnation;
    std::uint64_t renewals = 0;

    auto operator<=>(const CellState&) const = default;

    const Member* findMember(const HostId& host) const;
    // Member with this name only if it is this process.
    const Member* findProcess(const HostId& host, const std::string& incarnation) const;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(members, removed, membersSince, homes, writer, writerIncarnation, renewals);
    }
};

}
