#include "libserving/coldlimiter.h"
#include "libserving/retrywindow.h"
#include "libserving/servertracker.h"

#include "unit/property.h"

#include <algorithm>

using namespace Apricot;

namespace {

std::vector<HostId> makeHosts(int count)
{
    std::vector<HostId> hosts;
    hosts.reserve(static_cast<std::size_t>(count));
    for (int index = 0; index < count; ++index)
        hosts.emplace_back("host-" + std::to_string(index));
    return hosts;
}

// Sends a retry that arrives at once, if there is a permit for it.
bool sendRetry(RetryWindow& window, const PoolId& pool, TimePoint now)
{
    std::optional<RetryPermit> permit = window.tryAcquireRetry(pool, now);
    if (permit)
        permit->release(now);
    return permit.has_value();
}

}

TEST_GROUP(ServingLimits)
{
    TimePoint now {};
    const PoolId pool { "ledger" };
    const BackendServerId server { "s1" };
};

TEST(ServingLimits, allHostsTogetherStayWithinTheColdRate)
{
    checkProperty("requests of all hosts to a cold server within a second", [] {
        const int count = *rc::gen::inRange(1, 120);
        const double coldRate = *rc::gen::inRange(1, 60);
        const std::vector<HostId> hosts = makeHosts(count);
        const BackendServerId coldServer("s" + std::to_string(*rc::gen::inRange(0, 1000)));
        double sentCount = 0;
        const TimePoint start {};
        for (const HostId& host : hosts) {
            ColdLimiter limiter({ .overshoot = 1.5, .tolerance = 5 });
            limiter.setHosts(host, hosts, start);
            for (int attempt = 0; attempt < 100; ++attempt)
                sentCount
                    += limiter.tryAcquire(coldServer, coldRate, start + Milliseconds(10 * attempt))
                    ? 1
                    : 0;
        }
        RC_ASSERT(sentCount <= coldRate * 1.5 + 5);
        RC_ASSERT(sentCount >= 1);
    });
}

// Guards against hosts that divide the bound by those that are listed, while others that stop still send.
TEST(ServingLimits, hostsThatLeaveOneAfterTheOtherStayWithinTheColdRate)
{
    checkProperty("requests to a cold server within a second, while hosts leave", [] {
        const int count = *rc::gen::inRange(2, 40);
        const int leaving = *rc::gen::inRange(1, count);
        const double coldRate = *rc::gen::inRange(1, 60);
        const Milliseconds leaveInterval(*rc::gen::inRange(0, 2000));
        const BackendServerId coldServer("s1");
        const TimePoint start { std::chrono::hours(1) };
        std::vector<ColdLimiter> limiters(static_cast<std::size_t>(count), ColdLimiter({}, start - Milliseconds(5000)));
        std::vector<HostId> listed = makeHosts(count);
        const std::vector<HostId> all = listed;
        std::vector<TimePoint> sends;
        for (int step = 0; step <= leaving; ++step) {
            const TimePoint now = start + step * leaveInterval;
            for (std::size_t host = 0; host < all.size(); ++host) {
                limiters[host].setHosts(all[host], listed, now);
                while (limiters[host].tryAcquire(coldServer, coldRate, now))
                    sends.push_back(now);
            }
            listed.pop_back();
        }
        for (const TimePoint from : sends) {
            const auto within = std::count_if(sends.begin(), sends.end(),
                [from](TimePoint at) { return from <= at && at < from + Milliseconds(1000); });
            RC_ASSERT(static_cast<double>(within) <= coldRate * 1.5 + 5);
        }
    });
}

// Guards against a process that starts again within a second and has forgotten what it sent.
TEST(ServingLimits, hostsThatAreKilledAndStartAgainStayWithinTheColdRate)
{
    const std::vector<HostId> hosts = makeHosts(3);
    const TimePoint start { std::chrono::hours(1) };
    const double coldRate = 8.8;
    int sent = 0;
    for (const HostId& host : hosts) {
        for (const Milliseconds startedAt : { Milliseconds(-5000), Milliseconds(300), Milliseconds(700) }) {
            ColdLimiter limiter({}, start + startedAt);
            limiter.setHosts(host, hosts, start + startedAt);
            for (Milliseconds time = std::max(startedAt, Milliseconds(0)); time < Milliseconds(1000); time += Milliseconds(50))
                sent += limiter.tryAcquire(server, coldRate, start + time) ? 1 : 0;
        }
    }
    CHECK_COMPARE(sent, <=, coldRate * 1.5 + 5);
    CHECK_COMPARE(sent, >, 0);
}

TEST(ServingLimits, aHostWithoutAHostListSendsNothingToAColdServer)
{
    ColdLimiter limiter;
    CHECK(!limiter.tryAcquire(server, 10, now));
}

TEST(ServingLimits, allHostsTogetherStayWithinTheRetryBudget)
{
    checkProperty("retries of all hosts within a window", [] {
        const int count = *rc::gen::inRange(1, 90);
        const int requests = *rc::gen::inRange(0, 40);
        const PoolId ledger("ledger");
        const RetryWindowOptions options { .ratio = 0.2, .slack = 52 };
        double retries = 0;
        for (int host = 0; host < count; ++host) {
            RetryWindow window(options);
            window.setHosts(makeHosts(count), TimePoint());
            for (int index = 0; index < requests; ++index)
                window.recordRequest(ledger, TimePoint());
            while (sendRetry(window, ledger, TimePoint() + Milliseconds(10)))
                ++retries;
        }
        RC_ASSERT(retries <= 0.2 * requests * count + 52);
    });
}

// Guards against limits that start afresh with a process: all hosts restarted within a window used the slack
// twice.
TEST(ServingLimits, processesThatStartAgainStayWithinTheRetryBudget)
{
    checkProperty("retries of all hosts and of their earlier processes within a window", [] {
        const int count = *rc::gen::inRange(1, 90);
        const int restarts = *rc::gen::inRange(1, 4);
        const PoolId ledger("ledger");
        const RetryWindowOptions options { .ratio = 0.2, .slack = 52 };
        const TimePoint start { std::chrono::hours(1) };
        double retries = 0;
        for (int host = 0; host < count; ++host) {
            RetryWindow first(options, start - options.window);
            first.setHosts(makeHosts(count), start);
            while (sendRetry(first, ledger, start))
                ++retries;
            for (int restart = 1; restart <= restarts; ++restart) {
                const TimePoint restartedAt = start + Milliseconds(2000 * restart);
                RetryWindow next(options, restartedAt);
                next.setHosts(makeHosts(count), restartedAt);
                while (sendRetry(next, ledger, restartedAt + Milliseconds(1000)))
                    ++retries;
            }
        }
        RC_ASSERT(retries <= 52);
    });
}

// Guards against limits that start afresh with a process: before the hosts were listed, each took the slack
// of all.
TEST(ServingLimits, aHostWithoutAHostListUsesNoSlack)
{
    RetryWindow window({ .ratio = 0, .slack = 52 });
    CHECK_FALSE(sendRetry(window, pool, now));
}

TEST(ServingLimits, retriesAreAllowedAgainAfterTheWindow)
{
    RetryWindow window({ .ratio = 0, .slack = 1.25 });
    window.setHosts(makeHosts(1), now);
    CHECK(sendRetry(window, pool, now));
    CHECK(!sendRetry(window, pool, now + Milliseconds(9'999)));
    CHECK(sendRetry(window, pool, now + Milliseconds(10'000)));
}

TEST(ServingLimits, avoidsAnUnresponsiveServerForLongerEachTime)
{
    ServerTracker tracker;
    const auto timeOut = [&] {
        tracker.onCallStarted(server);
        tracker.onCallEnded(server, CallOutcome::Unresponsive, Milliseconds(350), now);
    };
    timeOut();
    CHECK(tracker.isAvoided(server, now + Milliseconds(399)));
    CHECK(!tracker.isAvoided(server, now + Milliseconds(401)));
    timeOut();
    CHECK(tracker.isAvoided(server, now + Milliseconds(799)));
}

TEST(ServingLimits, aServerThatFailsOftenCostsMore)
{
    ServerTracker tracker;
    const BackendServerId healthyServer("s2");
    for (int index = 0; index < 3; ++index) {
        tracker.onCallEnded(server, CallOutcome::Failed, Milliseconds(15), now);
        tracker.onCallEnded(healthyServer, CallOutcome::Responded, Milliseconds(15), now);
    }
    CHECK(tracker.cost(server) > tracker.cost(healthyServer) || tracker.cost(server) > 1);
    for (int index = 0; index < 20; ++index)
        tracker.onCallEnded(server, CallOutcome::Broken, Milliseconds(15), now);
    CHECK(tracker.isAvoided(server, now + Milliseconds(100'000)));
}
