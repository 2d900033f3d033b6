#pragma once

#include "libapricot/metrics.h"
#include "libnet/peerstream.h"
#include "libserving/serverlimits.h"
#include "libserving/servingview.h"

#include <random>

namespace Apricot {

// Permits for requests to backend servers that name a limit for all hosts together. One host grants the permits of a
// server, chosen by rendezvous hashing; while it does not respond, the next one grants some. Hosts tell each
// other of changes, along a tree that has the granting host as its root.
class LimitPermits {
public:
    // Topics of the messages between peers.
    static constexpr const char* permitTopic = "limit_permit";
    static constexpr const char* noticeTopic = "limit_notice";

    LimitPermits(boost::asio::io_context& context, const ServingView& view, PeerClient& peers, HostId self,
        MetricRegistry& metrics);

    // Acquires a permit for one request to a server. Always succeeds if no limit is in force.
    boost::asio::awaitable<bool> acquire(ServerEntry server);
    // When a permit for a server may be available; a time in the past if one may be now.
    TimePoint availableAt(const ServerStart& server);
    bool mayAcquire(const ServerEntry& server);
    bool isLimited(const ServerEntry& server) const;
    // Records the limit that a server named in the response to a request sent at a time, or that it named none.
    void recordLimit(const ServerEntry& server, TimePoint sentAt, std::optional<double> limit);

    // Response to a peer's request for a permit.
    std::string respondTo(const std::string& text);
    // Applies a peer's notice, and passes it on.
    void applyNotice(const std::string& text);

    void onServersRemoved();
    void onHostsChanged();
    // Number of servers with a limit in force.
    std::size_t limitedServers() const { return m_limits.size(); }
    bool hasLimits() const { return !m_limits.isEmpty(); }

private:
    // Hosts that grant the permits of a server, in order.
    const std::vector<HostId>& grantorsOf(const BackendServerId& server);
    // Part of the limit that this host grants; zero if others do.
    double ownShare(const BackendServerId& server);
    bool acquireHere(const ServerStart& server, double share);
    boost::asio::awaitable<std::optional<bool>> acquireFrom(HostId grantor, ServerStart server);
    void record(const ServerStart& server, const LimitEvidence& evidence, const std::string& source, bool isOwn);
    // Sends what is known of a server to the hosts that follow this one in the tree.
    void passOn(const ServerStart& server);
    void notify(const HostId& peer, const std::string& notice);
    boost::asio::awaitable<void> sendNotice(Endpoint peer, std::string notice);
    Milliseconds jitter(Milliseconds most);
    void count(const char* outcome);

    boost::asio::io_context& m_context;
    const ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    MetricRegistry& m_metrics;
    ServerLimits m_limits;
    std::vector<HostId> m_hosts;
    std::map<BackendServerId, std::vector<HostId>> m_grantors;
    std::map<HostId, TimePoint> m_silentUntil;
    std::minstd_rand m_random;
};

}
