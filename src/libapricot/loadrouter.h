#pragma once

#include "libapricot/domainramp.h"
#include "libapricot/outlierdetector.h"
#include "libapricot/routingpolicy.h"
#include "libapricot/serverload.h"
#include "libapricot/stagerouter.h"

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
class LoadRouter : public StageRouter {
public:
    explicit LoadRouter(LoadRouterOptions options = {});

    std::optional<BackendServerId> choose(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, const std::vector<BackendServerId>& excluded,
        TimePoint now) override;
    std::optional<BackendServerId> chooseForInput(const ControlView& view, const StageSpec& stage,
        const RequestKey& key, std::string_view input,
        const std::vector<BackendServerId>& excluded, TimePoint now) override;
    void report(
        const StageOutcome& outcome, const BackendServerId& server, TimePoint now) override;

    // Share of a pool's total cap that is in use, for admission and for the hedging decision.
    double utilisation(const ControlView& view, const PoolId& pool, TimePoint now);

private:
    struct Candidate {
        const BackendServer* server = nullptr;
        double load = 0;
        double cap = 1;
        double meanBusy = 0;
        bool remote = false;
        bool holdsPrefix = false;
    };
    using Candidates = std::vector<Candidate>;

    std::vector<BackendServerId> poolInService(const Catalogue& catalogue, const PoolId& pool);
    Candidates candidates(const ControlView& view, const StageSpec& stage,
        const std::vector<BackendServerId>& excluded, TimePoint now);
    const Candidate& pick(const PowerOfTwoChoices& policy, const StageSpec& stage,
        const Candidates& candidates, TimePoint now);
    const Candidate& pick(const RoundRobin& policy, const StageSpec& stage,
        const Candidates& candidates, TimePoint now);
    const Candidate& pick(const LeastReportedLoad& policy, const StageSpec& stage,
        const Candidates& candidates, TimePoint now);
    const Candidate& drawByCap(const Candidates& candidates);
    double lastSeenLoad(
        const LeastReportedLoad& policy, const BackendServerId& server, TimePoint now);

    struct LaggingReport {
        int load = 0;
        int seenLoad = 0;
        TimePoint seenAt {};
    };

    LoadRouterOptions m_options;
    std::mt19937_64 m_random;
    OutlierDetector m_outliers;
    DomainRamp m_ramp;
    std::map<BackendServerId, ServerLoad> m_loads;
    std::map<PoolId, std::size_t> m_turns;
    std::map<BackendServerId, LaggingReport> m_laggingReports;
    // Servers by pool of one catalogue version, so that a choice doesn't read the whole catalogue.
    std::map<PoolId, std::vector<BackendServerId>> m_pools;
    std::optional<ObjectVersion> m_poolsVersion;
};

}
