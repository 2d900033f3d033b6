#pragma once

#include "libserving/poolversions.h"
#include "libserving/serverentry.h"
#include "libserving/serverstart.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

struct ServerDirectoryOptions {
    // How long after an outage of the store an entry that expired during it may still be renewed.
    Milliseconds missingGraceTime { 2000 };
    // How long after its return from an older copy the store may list servers as ready that were draining or
    // removed. Silent servers are removed within this time.
    Milliseconds settleTime { 5000 };
    // A server whose failure domain returns to service counts as cold for its pool's cold time plus this
    // margin, which is how old the store's entry may be.
    Milliseconds coldMargin { 1500 };
    // Longest time between two responses of an available store to the peers of this host.
    Milliseconds maxPeerEvidenceGap { 3000 };
};

// The state of a backend server as known to this process.
struct KnownServer {
    ServerEntry server;
    // When this process first saw the server since its last start.
    TimePoint firstSeenAt {};
    // Until when the server counts as cold.
    TimePoint coldUntil {};
    // Whether the entry expired during an outage of the store or shortly after it.
    bool isMissing = false;
    // Whether the server itself said that it leaves, whatever its entry says.
    bool isLeaving = false;

    bool isCold(TimePoint now) const { return now < coldUntil; }
};

// The backend servers that are listed in the store, and the failure domains that are out of service.
class ServerDirectory {
public:
    explicit ServerDirectory(ServerDirectoryOptions options = {});

    void setSettleTime(Milliseconds time) { m_options.settleTime = time; }

    // Replaces all entries by those of a snapshot. Returns the servers whose entries were ignored because they are
    // older than what is known.
    std::vector<BackendServerId> replaceAll(const std::vector<ServerEntry>& servers, TimePoint now);
    // Adds or updates an entry. Returns false if it was ignored because it is older than what is known.
    bool put(const ServerEntry& server, TimePoint now);
    // Records that a server said that it leaves: until its next start it counts as draining. Returns whether that is new.
    bool recordLeaving(const ServerStart& server);
    // Counts a server as cold until a time at least, or until its entry names another start.
    void markCold(const BackendServerId& id, TimePoint until);
    // Removes an entry. During an outage of the store, and for the grace time after it, the entry of a
    // server that is not draining is retained and marked as missing instead.
    void remove(const BackendServerId& id, TimePoint now);
    // Reports that the store stopped responding to this host, or that it responds again.
    void onStoreLost(TimePoint now);
    void onStoreRegained(TimePoint now);
    // Reports that the store came back from an older copy. Until the settle time has passed, entries from before
    // a server's removal or start are withheld, and servers that the copy lacks are kept for the grace time.
    void onStoreRestored(TimePoint now);
    // Reports when the store has responded to a peer. While it responds to peers, entries do not expire because
    // of an outage, even if this host does not reach it.
    void recordPeerEvidence(TimePoint respondedAt, TimePoint now);

    // Reports that the entries were current at a time.
    void confirm(TimePoint confirmedAt) { m_versions.confirm(confirmedAt); }
    // The software versions that the servers have had.
    const PoolVersions& versions() const { return m_versions; }

    // Replaces the failure domains that are out of service. Servers of a domain that returns to service
    // count as cold for their pool's cold time plus the margin.
    void setOutOfServiceDomains(std::set<FailureDomainId> domains,
        const std::function<Milliseconds(const PoolId&)>& coldTimeOf, TimePoint now);
    const std::set<FailureDomainId>& outOfServiceDomains() const { return m_outOfServiceDomains; }

    // Replaces the servers that get no new work because of their versions, whatever their entries say. Returns whether
    // that changes anything.
    bool setExcludedServers(std::set<BackendServerId> servers);

    // Servers of a pool that may receive new work.
    std::vector<const KnownServer*> usable(const PoolId& pool, TimePoint now);
    // Servers of a pool that are neither draining nor excluded, including those in failure domains out of service.
    std::vector<const KnownServer*> notDraining(const PoolId& pool) const;
    // The server if it may receive new work, or null.
    const KnownServer* findUsable(const BackendServerId& id, TimePoint now);
    const std::map<BackendServerId, KnownServer>& all() const { return m_servers; }
    std::size_t size() const { return m_servers.size(); }
    // The known server with this address, or null.
    const KnownServer* findByAddress(const Endpoint& endpoint) const;
    // Incremented with each change of the result of usable(), except those caused by time alone.
    std::uint64_t generation() const { return m_generation; }
    // Incremented when a server is removed or gets another address, so that what is known of it is of no use any more.
    std::uint64_t removals() const { return m_removals; }

private:
    // The last report of a server before its removal.
    struct RemovedServer {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
        TimePoint removedAt {};
    };

    // Whether an entry is older than what is known of its server.
    bool isOutdated(const ServerEntry& server, TimePoint now) const;
    void apply(const ServerEntry& server, TimePoint now);
    bool isSettling(TimePoint now) const;
    // Applies the withheld entries once the settle time has passed.
    void settle(TimePoint now);
    bool isUsable(const KnownServer& known) const;
    // Whether the store responds neither to this host nor to its peers.
    bool isStoreAway(TimePoint now) const;
    bool isRetainingMissing(TimePoint now) const;
    void expireMissing(TimePoint now);
    // Removes an entry, and returns the one that follows it.
    std::map<BackendServerId, KnownServer>::iterator erase(
        std::map<BackendServerId, KnownServer>::iterator entry, TimePoint now);

    ServerDirectoryOptions m_options;
    std::map<BackendServerId, KnownServer> m_servers;
    std::map<BackendServerId, RemovedServer> m_removed;
    // Entries that are in the store but contradict what is known.
    std::map<BackendServerId, ServerEntry> m_withheld;
    std::optional<TimePoint> m_restoredAt;
    PoolVersions m_versions;
    std::set<FailureDomainId> m_outOfServiceDomains;
    std::set<BackendServerId> m_excluded;
    bool m_isStoreLost = false;
    TimePoint m_storeLostAt {};
    // When the store last responded to a peer.
    TimePoint m_peerEvidenceAt {};
    std::optional<TimePoint> m_storeRegainedAt;
    std::uint64_t m_generation = 0;
    std::uint64_t m_removals = 0;
};

}
