#pragma once

#include "libapricot/clock.h"
#include "libapricot/identifier.h"

#include <map>
#include <vector>

namespace Apricot {

struct SharingHostsOptions {
    // Longest time for which a host that has left the list of hosts still serves.
    Milliseconds leavingTime { 8000 };
    // Time for which what a host has sent counts against the bound.
    Milliseconds countedTime { 10'000 };
};

// The hosts that share a bound over all hosts: those that are listed, and those that have left the list and may still
// send, or have sent what still counts. Each of them has one part.
class SharingHosts {
public:
    explicit SharingHosts(SharingHostsOptions options = {});

    void setOptions(const SharingHostsOptions& options) { m_options = options; }
    // Sets the listed hosts, none if they are not known.
    void setListed(const std::vector<HostId>& hosts, TimePoint now);
    // Whether a host is one of those that share the bound.
    bool contains(const HostId& host, TimePoint now) const;
    // The number of hosts that share the bound, zero while no host is listed.
    std::size_t count(TimePoint now) const;
    // The hosts that share the bound, none while no host is listed.
    std::vector<HostId> all(TimePoint now) const;

private:
    bool isCounted(TimePoint leftAt, TimePoint now) const;

    SharingHostsOptions m_options;
    std::vector<HostId> m_listed;
    // When the others were last listed.
    std::map<HostId, TimePoint> m_left;
};

}
