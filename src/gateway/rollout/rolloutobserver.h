#pragma once

#include "libapricot/metrics.h"
#include "libserving/rollout/rolloutreport.h"
#include "libserving/rollout/rolloutrouting.h"
#include "libserving/servingview.h"

#include <functional>
#include <memory>

namespace Apricot {

// Directs this host's requests while versions are rolled out, and records how the versions answer.
class RolloutObserver {
public:
    RolloutObserver(ServingView& view, MetricRegistry& metrics);

    RolloutRouting& routing() { return m_routing; }
    const RolloutRouting& routing() const { return m_routing; }
    bool isEnabled() const { return m_routing.isEnabled(); }
    // Called after changes of what the store holds.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

    // Applies what the store holds about an order, or that it holds none any more.
    void apply(const StoredRollout& rollout);
    void remove(const PoolId& pool);
    // Keeps requests from the target of an order.
    void applyFault(const RolloutOrder& order, const std::string& reason, std::string_view source);
    // Updates the servers that get no new work. Called after changes of the view, and while a roll-out is in progress.
    void refresh();

    // The servers of a pool that a request may be sent to.
    std::vector<const KnownServer*> usableServers(const PoolId& pool, std::string_view requestId, bool isRepeat);
    // Whether a request goes to other servers than this one only if none of its version can take it.
    bool isPreferred(const ServerEntry& server, std::string_view requestId, bool isRepeat) const;

    // Counts a request as running at a server until the result is destroyed. Returns null while no roll-out moves the
    // pool.
    std::shared_ptr<void> trackRun(const ServerEntry& server);
    // Records how a server answered a request of a route.
    void recordSuccess(const std::string& route, const ServerEntry& server, std::optional<Duration> duration);
    void recordFailure(const std::string& route, const ServerEntry& server);

    // What was observed since the last report about the roll-outs in progress.
    std::vector<RolloutReport> drainReports();

private:
    // Observations about one order.
    struct Observations {
        RolloutOrder order;
        RolloutEvidence unreported;
        // Observations of this host in the whole roll-out, by which it decides when it reaches no other host.
        RolloutEvidence own;
        // Shared with the runs, which may outlive this object.
        std::shared_ptr<std::size_t> runsAtReplaced = std::make_shared<std::size_t>(0);
    };

    Observations* observationsOf(const ServerEntry& server);
    AnswerCounts& countsOf(RolloutEvidence& evidence, const std::string& route, const ServerEntry& server) const;
    void countAnswer(const ServerEntry& server, const char* outcome);
    const char* sideName(const ServerEntry& server) const;

    ServingView& m_view;
    MetricRegistry& m_metrics;
    RolloutRouting m_routing;
    std::map<PoolId, Observations> m_observations;
    std::function<void()> m_changeHandler;
};

}
