#pragma once

#include "libserving/rollout/rolloutorder.h"
#include "libserving/serverdirectory.h"
#include "libserving/servingconfig.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

struct RolloutRoutingOptions {
    // Largest share of a pool's requests that an unproven version may get over all hosts; zero turns roll-outs off.
    double exposureShare = 0;
    // Part of that share that a trial uses. The rest covers hosts that learn of an order late.
    double trialPart = 0.7;
    // Load of a server in a trial, as a multiple of that of the servers of the replaced versions, so that a fault under
    // load shows.
    double trialLoad = 1.3;
    // Share of the requests for the time of the ramp, which begins the shift.
    double rampShare = 0.25;
    Milliseconds rampTime { 1200 };
    // Time for which a reverted version gets no request even if its pool has no other servers.
    Milliseconds strictTime { 60'000 };
};

// Which servers a request may go to while a roll-out moves its pool.
enum class VersionChoice {
    // No roll-out decides.
    Any,
    // Only servers of the versions that the target replaces.
    ReplacedOnly,
    // Servers of the target version, or others if none of them can take the request.
    TargetFirst,
    // Only servers of the target version.
    TargetOnly,
};

// How this host directs requests while versions are rolled out. A host decides for each request by a hash of its ID, so
// that the share over all hosts holds without messages, however few requests each host reads.
class RolloutRouting {
public:
    // An order as this host knows it.
    struct Known {
        StoredRollout stored;
        // Time since the order was recorded, as of when this host first saw it.
        Milliseconds elapsedWhenSeen { 0 };
        TimePoint seenAt {};
        // When this host learned that the shift began.
        std::optional<TimePoint> shiftSeenAt;
        // Why requests are kept from the target version before the store says so.
        std::optional<std::string> fault;
        // Calls that this host planned for servers of the pool that take no single requests, and those for the target.
        std::uint64_t calls = 0;
        std::uint64_t targetCalls = 0;
        // Whether the store has lost the final state, because it came back from an older copy.
        bool isStoreBehind = false;

        Milliseconds elapsed(TimePoint now) const
        {
            return elapsedWhenSeen + std::chrono::floor<Milliseconds>(now - seenAt);
        }
    };

    void setOptions(const RolloutRoutingOptions& options) { m_options = options; }
    const RolloutRoutingOptions& options() const { return m_options; }
    bool isEnabled() const { return m_options.exposureShare > 0; }

    // Applies what the store holds of an order. `unixNow` is the Unix time in milliseconds. Returns whether that changed
    // what is known.
    bool put(const StoredRollout& rollout, std::int64_t unixNow, TimePoint now);
    // The store holds no order for a pool any more. Its target gets no requests for the strict time, because nobody has
    // said that it serves well.
    void remove(const PoolId& pool, TimePoint now);
    // Keeps requests from the target of an order. Returns whether that is new.
    bool recordFault(const RolloutOrder& order, const std::string& reason);

    const std::map<PoolId, Known>& known() const { return m_known; }
    // The order that is in progress for a pool and has no known fault, or null.
    const Known* inProgress(const PoolId& pool) const;
    bool isAnyInProgress() const;

    VersionChoice choiceFor(const PoolId& pool, std::string_view requestId, bool isRepeat, TimePoint now) const;
    // The servers that a request may go to.
    std::vector<const KnownServer*> select(
        std::vector<const KnownServer*> servers, const PoolId& pool, VersionChoice choice) const;
    bool isTarget(const PoolId& pool, const SoftwareVersion& version) const;

    // Servers that get no new work from this host because of their versions.
    std::set<BackendServerId> excludedServers(
        const ServerDirectory& directory, const ServingConfig* config, TimePoint now) const;

    // Whether a call of several requests' work may go to a server of this version now.
    bool mayCall(const PoolId& pool, const SoftwareVersion& version, TimePoint now) const;
    void onCalled(const PoolId& pool, const SoftwareVersion& version);

private:
    // A version that must get no requests.
    struct Barred {
        // Until when it gets none even if its pool has no other servers.
        TimePoint strictUntil {};
        // Whether it is forgotten then.
        bool isForgotten = false;
    };

    double targetShare(const Known& known, TimePoint now) const;
    void bar(const PoolId& pool, const SoftwareVersion& version, Barred barred);
    std::set<BackendServerId> unusedTrialServers(
        const Known& known, const std::vector<const KnownServer*>& servers) const;

    RolloutRoutingOptions m_options;
    std::map<PoolId, Known> m_known;
    std::map<std::pair<PoolId, SoftwareVersion>, Barred> m_barred;
};

}
