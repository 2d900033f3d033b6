#pragma once

#include "libapricot/endpoint.h"
#include "libserving/serverdirectory.h"
#include "libserving/servingconfig.h"

#include <map>
#include <memory>
#include <vector>

namespace Apricot {

// A host of the system as it registered itself.
struct PeerHost {
    Endpoint endpoint;
    FailureDomainId domain;

    auto operator<=>(const PeerHost&) const = default;
};

// What this process believes of the deployment: the configuration in force, the backend servers and
// the hosts of the system.
class ServingView {
public:
    // Takes a configuration that stands at a revision of the store. An older one than that in force is
    // dropped; returns whether it was taken.
    bool applyConfig(ServingConfig config, std::uint64_t revision);
    // The configuration in force, or nothing before the first one.
    std::shared_ptr<const ServingConfig> config() const { return m_config; }
    std::uint64_t configRevision() const { return m_configRevision; }

    ServerDirectory& servers() { return m_servers; }
    const ServerDirectory& servers() const { return m_servers; }

    void setOutOfServiceDomains(std::set<FailureDomainId> domains, TimePoint now);

    void putHost(const HostId& id, const PeerHost& host) { m_hosts[id] = host; }
    void removeHost(const HostId& id) { m_hosts.erase(id); }
    void replaceHosts(std::map<HostId, PeerHost> hosts) { m_hosts = std::move(hosts); }
    const std::map<HostId, PeerHost>& hosts() const { return m_hosts; }
    std::vector<HostId> hostIds() const;

private:
    std::shared_ptr<const ServingConfig> m_config;
    std::uint64_t m_configRevision = 0;
    ServerDirectory m_servers;
    std::map<HostId, PeerHost> m_hosts;
};

}
