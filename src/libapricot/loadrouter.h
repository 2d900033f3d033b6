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

// Routes attempts by the load that homes report back on each answer. Servers that are out of service
// or leaving, excluded, ejected or backing off get none. Not thread-safe: one for a traffic thread.
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

    // Share of a pool's total cap that is in use, for admission and for the hedging decision.
    double utilisation(const ControlView& view, const PoolId& pool, TimePoint now);

private:
    // One server of a pool, with what changes slowly.
    struct Candidate {
        BackendServer server;
        std::uint64_t idHash = 0;
        double cap = 1;
        double meanBusy = 0;
        bool isRemote = false;
    };
    // The servers of a pool that may get work, rebuilt now and then, so that a choice looks closely
    // at two of them only.
    struct PoolSnapshot {
        ObjectVersion version = 0;
        TimePoint builtAt {};
        std::vector<Candidate> candidates;
        // Sums of the caps up to and with each candidate, for drawing by cap.
        std::vector<double> capSums;
        std::size_t nextIndex = 0;
    };
    // What a choice must keep to.
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
    // Servers by pool of one catalogue version, so that a choice doesn't read the whole catalogue.
    std::map<PoolId, std::vector<BackendServerId>> m_serversByPool;
    std::optional<ObjectVersion> m_serversByPoolVersion;
};

}
