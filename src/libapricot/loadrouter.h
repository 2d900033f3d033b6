#pragma once

#include "libapricot/attemptrouter.h"
#include "libapricot/domainramp.h"
#include "libapricot/outlierdetector.h"
#include "libapricot/routingpolicy.h"
#include "libapricot/serverload.h"

#include <map>
#include <random>

namespace Apricot {

struct LoadRouterOptions {
    RoutingPolicy policy;
    OutlierOptions outliers;
    std::uint64_t seed = 1;
};

// Routes attempts by the load that homes report with each response. Servers that are out of service,
// draining, excluded, ejected or backing off get no attempts. Not thread-safe: use one per traffic
// thread.
class LoadRouter : public AttemptRouter {
public:
    explicit LoadRouter(LoadRouterOptions options = {});

    std::optional<BackendServerId> choose(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, const std::vector<BackendServerId>& excluded,
        TimePoint now) override;
    std::optional<BackendServerId> chooseForInput(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, std::string_view input,
        const std::vector<BackendServerId>& excluded, TimePoint now) override;
    void recordOutcome(
        const StageOutcome& outcome, const BackendServerId& server, TimePoint now) override;

    // Used share of a pool's total cap, for admission and hedging decisions.
    double utilisation(const ControlView& view, const PoolId& pool, TimePoint now);

private:
    // One server of a pool with its slowly changing properties.
    struct Candidate {
        BackendServer server;
        std::uint64_t idHash = 0;
        double cap = 1;
        double meanBusy = 0;
        bool isRemote = false;
    };
    // Cached eligible servers of a pool, rebuilt periodically, so that a choice evaluates only two of
    // them.
    struct PoolSnapshot {
        ObjectVersion version = 0;
        TimePoint builtAt {};
        std::vector<Candidate> candidates;
        // Cumulative sums of the caps, for drawing with the caps as weights.
        std::vector<double> capSums;
        std::size_t nextIndex = 0;
    };
    // Constraints on the choice of a server for one attempt.
    struct ChoiceConstraints {
        const std::vector<BackendServerId>& excluded;
        std::string_view prefix;
        TimePoint now;
    };
    struct DelayedReport {
        int load = 0;
        int sampledLoad = 0;
        TimePoint sampledAt {};
    };

    PoolSnapshot& poolSnapshot(const ControlView& view, const PoolId& pool, TimePoint now);
    void rebuild(PoolSnapshot& result, const ControlView& view, const PoolId& pool, TimePoint now);
    const std::vector<BackendServerId>& serversInService(
        const Catalogue& catalogue, const PoolId& pool);
    bool isEligible(const Candidate& candidate, const ChoiceConstraints& constraints) const;
    bool usesOutcomeFeedback() const;

    const Candidate* pick(const PowerOfTwoChoices& policy, PoolSnapshot& pool,
        const ChoiceConstraints& constraints);
    const Candidate* pick(
        const RoundRobin& policy, PoolSnapshot& pool, const ChoiceConstraints& constraints);
    const Candidate* pick(const LeastReportedLoad& policy, PoolSnapshot& pool,
        const ChoiceConstraints& constraints);
    const Candidate* drawWeightedByCap(const PoolSnapshot& pool,
        const ChoiceConstraints& constraints, const Candidate* other);
    const Candidate* prefixHolder(
        const PoolSnapshot& pool, const ChoiceConstraints& constraints) const;
    double cost(const PowerOfTwoChoices& policy, const Candidate& candidate, bool holdsPrefix,
        TimePoint now);
    double delayedLoad(
        const LeastReportedLoad& policy, const BackendServerId& server, TimePoint now);

    LoadRouterOptions m_options;
    std::mt19937_64 m_random;
    OutlierDetector m_outliers;
    DomainRamp m_ramp;
    std::map<BackendServerId, ServerLoad> m_loads;
    std::map<BackendServerId, DelayedReport> m_delayedReports;
    std::map<PoolId, PoolSnapshot> m_poolSnapshots;
    // Servers in service by pool, cached for one catalogue version so that a choice doesn't iterate
    // over the whole catalogue.
    std::map<PoolId, std::vector<BackendServerId>> m_serversByPool;
    std::optional<ObjectVersion> m_serversByPoolVersion;
};

}
