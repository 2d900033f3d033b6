#pragma once

#include "libapricot/endpoint.h"
#include "libserving/serverdirectory.h"
#include "libserving/servingconfig.h"

#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Apricot {

// A gateway host as registered in the store.
struct PeerHost {
    Endpoint endpoint;
    FailureDomainId domain;

    auto operator<=>(const PeerHost&) const = default;
};

// This process's view of the deployment: the current configuration, the backend servers and the gateway
// hosts.
class ServingView {
public:
    // Applies a configuration read at a revision of the store. Returns false, without applying it, when the
    // revision is not newer than the current one.
    bool applyConfig(ServingConfig config, std::uint64_t revision);
    // The current configuration, or null before the first one was applied.
    std::shared_ptr<const ServingConfig> config() const { return m_config; }
    std::uint64_t configRevision() const { return m_configRevision; }
    // Records that the configuration was the newest one of the store at a time, and until when this is to be confirmed again.
    void confirmConfig(TimePoint confirmedAt, TimePoint overdueAt);
    // Whether a newer configuration may have been in force for so long that this host should have it.
    bool isConfigOverdue(TimePoint now) const { return now >= m_configOverdueAt; }
    // Latest time at which the configuration is known to have been the newest one; not set before the first confirmation.
    std::optional<TimePoint> configConfirmedAt() const { return m_configConfirmedAt; }
    // When a configuration last sent requests to other pools than the one before, or the first one was applied.
    TimePoint routingChangedAt() const { return m_routingChangedAt; }

    ServerDirectory& servers() { return m_servers; }
    const ServerDirectory& servers() const { return m_servers; }

    // Counts a server as cold for its pool's cold time. Returns that time, or zero if the server is not known.
    Milliseconds markServerRestarted(const Endpoint& endpoint, TimePoint now);
    void setOutOfServiceDomains(std::set<FailureDomainId> domains, TimePoint now);

    void putHost(const HostId& id, const PeerHost& host);
    void removeHost(const HostId& id);
    void replaceHosts(std::map<HostId, PeerHost> hosts);
    const std::map<HostId, PeerHost>& hosts() const { return m_hosts; }
    std::vector<HostId> hostIds() const;
    // Incremented with each change of the hosts.
    std::uint64_t hostsGeneration() const { return m_hostsGeneration; }

private:
    std::shared_ptr<const ServingConfig> m_config;
    std::uint64_t m_configRevision = 0;
    std::optional<TimePoint> m_configConfirmedAt;
    TimePoint m_configOverdueAt {};
    TimePoint m_routingChangedAt {};
    ServerDirectory m_servers;
    std::map<HostId, PeerHost> m_hosts;
    std::uint64_t m_hostsGeneration = 0;
};

}
