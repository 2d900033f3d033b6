#include "property.h"

#include "libapricot/loadrouter.h"

#include <algorithm>
#include <set>

using namespace Apricot;

namespace {

const PoolId generators("generators");

StageSpec generateStage()
{
    return { .name = "generate", .pool = generators };
}

BackendServer makeServer(int index, const std::string& domain, int coldCap, int warmCap)
{
    const std::string name = "server-" + std::to_string(index);
    return { .id = BackendServerId(name),
        .pool = generators,
        .host = HostId("rack-" + std::to_string(index)),
        .failureDomain = FailureDomainId(domain),
        .coldCap = coldCap,
        .warmCap = warmCap };
}

ControlView makeView(const Catalogue& catalogue)
{
    return { .self = HostId("host-0"),
        .failureDomain = FailureDomainId("a"),
        .catalogue = std::make_shared<const Catalogue>(catalogue) };
}

Catalogue makeCatalogue(int servers)
{
    Catalogue catalogue { .version = 1 };
    for (int index = 0; index < servers; ++index) {
        const BackendServer server = makeServer(index, index % 2 == 0 ? "a" : "b", 1, 8);
        catalogue.servers.emplace(server.id, server);
    }
    return catalogue;
}

StageOutcome finishedOutcome(int busy, int load, int cap)
{
    return { .end = StageEndReason::Finished,
        .sent = true,
        .tokens = 1,
        .busy = Milliseconds(busy),
        .load = load,
        .cap = cap };
}

// Counts how often each server is chosen. Each attempt is cancelled at once, which leaves the load unchanged.
std::map<BackendServerId, int> countChoices(
    LoadRouter& router, const ControlView& view, int count, TimePoint now)
{
    std::map<BackendServerId, int> counts;
    for (int turn = 0; turn < count; ++turn) {
        const auto server = router.choose(view, generateStage(), RequestKey("k"), {}, now);
        CHECK_TRUE(server.has_value());
        ++counts[*server];
        router.recordOutcome({ .end = StageEndReason::Cancelled }, *server, now);
    }
    return counts;
}

}

TEST_GROUP(LoadRouter)
{
    TimePoint m_now { std::chrono::seconds(1000) };
    BackendServerId m_first { "server-0" };
    BackendServerId m_second { "server-1" };
};

TEST(LoadRouter, choosesNoExcludedOrOutOfServiceServer)
{
    checkProperty("only eligible servers are chosen", [this](const std::vector<bool>& outOfServiceHosts, const std::vector<bool>& triedServers, bool isDomainOut) {
        const int size = static_cast<int>(std::min<std::size_t>(outOfServiceHosts.size(), 12));
        Catalogue catalogue = makeCatalogue(size);
        std::vector<BackendServerId> excluded;
        std::set<BackendServerId> eligible;
        if (isDomainOut)
            catalogue.domains[FailureDomainId("b")] = ServiceState::Out;
        for (int index = 0; index < size; ++index) {
            const BackendServerId id("server-" + std::to_string(index));
            const BackendServer& server = catalogue.servers.at(id);
            if (outOfServiceHosts[index])
                (index % 3 == 0 ? catalogue.hosts : catalogue.leaving)[server.host]
                    = ServiceState::Out;
            const bool isTried = index < static_cast<int>(triedServers.size()) && triedServers[index];
            if (isTried)
                excluded.push_back(id);
            if (!isTried && catalogue.isInService(server))
                eligible.insert(id);
        }
        const ControlView view = makeView(catalogue);
        LoadRouter router;
        for (int turn = 0; turn < 20; ++turn) {
            const auto chosen
                = router.choose(view, generateStage(), RequestKey("k"), excluded, m_now);
            RC_ASSERT(chosen.has_value() == !eligible.empty());
            if (chosen)
                RC_ASSERT(eligible.contains(*chosen));
        }
    });
}

TEST(LoadRouter, prefersTheServerWithLessLoadForItsCap)
{
    const ControlView view = makeView(makeCatalogue(2));
    LoadRouter router;
    router.recordOutcome(finishedOutcome(100, 8, 8), m_first, m_now);
    router.recordOutcome(finishedOutcome(100, 1, 8), m_second, m_now);
    const auto counts = countChoices(router, view, 50, m_now);
    LONGS_EQUAL(50, counts.at(m_second));
}

TEST(LoadRouter, prefersTheSameFailureDomainAtEqualLoad)
{
    const ControlView view = makeView(makeCatalogue(2));
    LoadRouter router;
    router.recordOutcome(finishedOutcome(100, 2, 8), m_first, m_now);
    router.recordOutcome(finishedOutcome(100, 2, 8), m_second, m_now);
    LONGS_EQUAL(50, countChoices(router, view, 50, m_now).at(m_first));
}

TEST(LoadRouter, sendsLittleWorkToColdServers)
{
    const ControlView view = makeView(makeCatalogue(8));
    LoadRouter router;
    for (int index = 0; index < 8; ++index)
        router.recordOutcome(finishedOutcome(100, 0, index == 0 ? 1 : 8),
            BackendServerId("server-" + std::to_string(index)), m_now);
    const auto counts = countChoices(router, view, 800, m_now);
    const auto cold = counts.find(m_first);
    CHECK_TRUE(cold == counts.end() || cold->second < 50);
}

TEST(LoadRouter, usesThePrefixHolderUntilItsQueueCostsMore)
{
    const ControlView view = makeView(makeCatalogue(6));
    LoadRouter router;
    const std::string input = "the same long instructions";
    const auto holder = router.chooseForInput(
        view, generateStage(), RequestKey("k"), input, {}, m_now);
    for (int turn = 0; turn < 30; ++turn) {
        router.recordOutcome({ .end = StageEndReason::Cancelled }, *holder, m_now);
        CHECK_TRUE(holder
            == router.chooseForInput(view, generateStage(), RequestKey("k"), input, {}, m_now));
    }
    for (const auto& [id, server] : view.catalogue->servers)
        router.recordOutcome(finishedOutcome(100, id == *holder ? 8 : 0, 8), id, m_now);
    CHECK_FALSE(holder
        == router.chooseForInput(view, generateStage(), RequestKey("k"), input, {}, m_now));
}

TEST(LoadRouter, avoidsARejectingServerForItsRetryTime)
{
    const ControlView view = makeView(makeCatalogue(1));
    LoadRouter router;
    const StageOutcome rejected { .end = StageEndReason::Rejected, .retryAfter = Milliseconds(100) };
    router.recordOutcome(rejected, m_first, m_now);
    CHECK_FALSE(router.choose(view, generateStage(), RequestKey("k"), {}, m_now).has_value());
    CHECK_TRUE(router
                   .choose(view, generateStage(), RequestKey("k"), {}, m_now + Milliseconds(101))
                   .has_value());
}

TEST(LoadRouter, rampsAReturningDomainFromItsColdCaps)
{
    Catalogue catalogue = makeCatalogue(2);
    LoadRouter router;
    catalogue.domains[FailureDomainId("b")] = ServiceState::Out;
    LONGS_EQUAL(10, countChoices(router, makeView(catalogue), 10, m_now).at(m_first));
    catalogue.domains.clear();
    catalogue.version = 2;
    const BackendServer& second = catalogue.servers.at(m_second);
    DomainRamp ramp;
    Catalogue outOfService = catalogue;
    outOfService.domains[FailureDomainId("b")] = ServiceState::Out;
    outOfService.version = 1;
    ramp.update(outOfService, m_now);
    ramp.update(catalogue, m_now);
    DOUBLES_EQUAL(1, ramp.currentCap(second, m_now), 0.01);
    DOUBLES_EQUAL(4.5, ramp.currentCap(second, m_now + DomainRamp::rampTime / 2), 0.01);
    DOUBLES_EQUAL(8, ramp.currentCap(second, m_now + 2 * DomainRamp::rampTime), 0.01);
}

TEST(LoadRouter, ejectsStragglersButAtMostHalfThePool)
{
    checkProperty("at least half of a pool is not ejected", [this](const std::vector<std::uint8_t>& busyTimes) {
        OutlierDetector detector;
        std::vector<BackendServerId> pool;
        for (std::size_t index = 0; index < busyTimes.size(); ++index) {
            pool.emplace_back("server-" + std::to_string(index));
            for (int sample = 0; sample < 8; ++sample)
                detector.recordOutcome(finishedOutcome(busyTimes[index], 0, 8), pool.back(), m_now);
        }
        RC_ASSERT(detector.ejectOutliers(pool, m_now).size() * 2 >= pool.size());
        RC_ASSERT(detector.ejectOutliers(pool, m_now).size() * 2 >= pool.size());
    });
    OutlierDetector detector;
    const std::vector<BackendServerId> pool { m_first, m_second, BackendServerId("server-2") };
    for (int sample = 0; sample < 8; ++sample) {
        for (const BackendServerId& server : pool)
            detector.recordOutcome(finishedOutcome(server == m_first ? 500 : 100, 0, 8), server, m_now);
    }
    LONGS_EQUAL(2, detector.ejectOutliers(pool, m_now).size());
    CHECK_TRUE(detector.isEjected(m_first, m_now));
    LONGS_EQUAL(3, detector.ejectOutliers(pool, m_now + std::chrono::minutes(1)).size());
}

TEST(LoadRouter, roundRobinChoosesServersInTurn)
{
    const ControlView view = makeView(makeCatalogue(4));
    LoadRouter router({ .policy = routingPolicyNamed("round_robin") });
    router.recordOutcome(finishedOutcome(100, 8, 8), m_first, m_now);
    for (const auto& [id, count] : countChoices(router, view, 40, m_now))
        LONGS_EQUAL(10, count);
}
