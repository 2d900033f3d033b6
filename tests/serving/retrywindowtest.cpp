#include "libserving/retrywindow.h"

#include "unit/property.h"

#include <algorithm>
#include <map>
#include <numeric>

using namespace Apricot;

namespace {

const PoolId pool("engines");
constexpr Milliseconds step { 100 };

// Hosts under a constant load whose requests all want a retry, as far as the hosts have permits. Counts the
// requests and the retries of each step.
class RetrySimulation {
public:
    RetrySimulation(int hosts, const RetryWindowOptions& options)
        : m_options(options)
    {
        for (int host = 0; host < hosts; ++host) {
            m_ids.emplace_back("host-" + std::to_string(host));
            m_windows.emplace_back(options, m_now - 2 * options.window);
        }
        m_isUp.assign(m_ids.size(), true);
        publishHosts();
    }

    // Sends requests to the hosts that are up. Retries are sent only if the servers fail.
    void run(Milliseconds time, int requestsPerStep, bool doServersFail)
    {
        for (const TimePoint end = m_now + time; m_now < end; m_now += step) {
            int retries = 0;
            for (int request = 0; request < requestsPerStep; ++request) {
                const std::size_t host = nextHost();
                m_windows[host].recordRequest(pool, m_now);
                if (!doServersFail)
                    continue;
                if (std::optional<RetryPermit> permit = m_windows[host].tryAcquireRetry(pool, m_now)) {
                    permit->release(m_now);
                    ++retries;
                }
            }
            m_requests.push_back(requestsPerStep);
            m_retries.push_back(retries);
        }
    }

    // Callers no longer reach a host; with `isListed` false, it leaves the list of hosts too.
    void takeDown(std::size_t host, bool isListed)
    {
        m_isUp[host] = false;
        m_isListed[host] = isListed;
        publishHosts();
    }

    // The host serves again, in a new process or in the one that was frozen.
    void bringUp(std::size_t host, bool isNewProcess)
    {
        m_isUp[host] = true;
        m_isListed.erase(host);
        if (isNewProcess)
            m_windows[host] = RetryWindow(m_options, m_now);
        publishHosts();
    }

    // By how much the retries of any window exceed the bound of all hosts.
    double largestExcess() const
    {
        const auto window = static_cast<std::ptrdiff_t>(m_options.window / step);
        const auto countIn = [window](const std::vector<int>& counts, std::ptrdiff_t end) {
            const std::ptrdiff_t last = std::max<std::ptrdiff_t>(end, 0);
            const std::ptrdiff_t first = std::max<std::ptrdiff_t>(end - window, 0);
            return std::accumulate(counts.begin() + first, counts.begin() + last, 0);
        };
        double excess = -m_options.slack;
        for (std::ptrdiff_t end = 1; end <= static_cast<std::ptrdiff_t>(m_retries.size()); ++end) {
            const int requests = std::max({ countIn(m_requests, end), countIn(m_requests, end - window / 2),
                countIn(m_requests, end - window) });
            excess = std::max(excess,
                countIn(m_retries, end) - m_options.ratio * requests - m_options.slack);
        }
        return excess;
    }

    int retriesWithin(Milliseconds time) const
    {
        return std::accumulate(m_retries.end() - time / step, m_retries.end(), 0);
    }

private:
    std::size_t nextHost()
    {
        do
            m_next = (m_next + 1) % m_ids.size();
        while (!m_isUp[m_next]);
        return m_next;
    }

    void publishHosts()
    {
        std::vector<HostId> listed;
        for (std::size_t host = 0; host < m_ids.size(); ++host) {
            if (!m_isListed.contains(host) || m_isListed[host])
                listed.push_back(m_ids[host]);
        }
        for (RetryWindow& window : m_windows)
            window.setHosts(listed, m_now);
    }

    RetryWindowOptions m_options;
    TimePoint m_now { std::chrono::hours(1) };
    std::vector<HostId> m_ids;
    std::vector<RetryWindow> m_windows;
    std::vector<bool> m_isUp;
    std::map<std::size_t, bool> m_isListed;
    std::size_t m_next = 0;
    std::vector<int> m_requests;
    std::vector<int> m_retries;
};

}

TEST_GROUP(RetryWindow)
{
    const RetryWindowOptions options { .ratio = 0.2, .slack = 56 };
};

// Guards against repeats beyond the bound of all hosts: hosts that have used their permits leave, freeze or start
// again, and their callers move to others.
TEST(RetryWindow, hostsThatComeAndGoStayWithinTheBoundTogether)
{
    checkProperty("retries of all hosts while callers move between them", [this] {
        const int hosts = *rc::gen::inRange(2, 20);
        const int requestsPerStep = *rc::gen::inRange(1, 30);
        RetrySimulation simulation(hosts, options);
        simulation.run(Milliseconds(20'000), requestsPerStep, false);
        const int changes = *rc::gen::inRange(1, 12);
        std::vector<std::size_t> down;
        for (int change = 0; change < changes; ++change) {
            simulation.run(Milliseconds(*rc::gen::inRange(1, 40) * 100), requestsPerStep, true);
            if (!down.empty() && *rc::gen::inRange(0, 2) == 0) {
                simulation.bringUp(down.back(), *rc::gen::inRange(0, 2) == 0);
                down.pop_back();
            } else if (down.size() + 1 < static_cast<std::size_t>(hosts)) {
                simulation.takeDown(down.size(), *rc::gen::inRange(0, 2) == 0);
                down.push_back(down.size());
            }
        }
        simulation.run(Milliseconds(12'000), requestsPerStep, true);
        RC_ASSERT(simulation.largestExcess() <= 0);
    });
}

TEST(RetryWindow, aSteadyLoadUsesMostOfTheBound)
{
    RetrySimulation simulation(8, options);
    simulation.run(Milliseconds(20'000), 6, false);
    simulation.run(Milliseconds(10'000), 6, true);
    CHECK_COMPARE(simulation.retriesWithin(Milliseconds(10'000)), >=, 0.8 * (0.2 * 600 + 56));
}

TEST(RetryWindow, aRetryCountsUntilAWindowAfterItsSendHasEnded)
{
    RetryWindow window({ .ratio = 0, .slack = 1.25 });
    const TimePoint now {};
    window.setHosts({ HostId("h1") }, now);
    std::optional<RetryPermit> permit = window.tryAcquireRetry(pool, now);
    CHECK_TRUE(permit.has_value());
    CHECK_FALSE(window.tryAcquireRetry(pool, now + Milliseconds(15'000)).has_value());
    permit->release(now + Milliseconds(15'000));
    CHECK_FALSE(window.tryAcquireRetry(pool, now + Milliseconds(24'999)).has_value());
    CHECK_TRUE(window.tryAcquireRetry(pool, now + Milliseconds(25'000)).has_value());
}

TEST(RetryWindow, aHostThatLeftKeepsItsShareWhileItsRetriesCount)
{
    RetryWindow window({ .ratio = 0, .slack = 10, .leavingTime = Milliseconds(8000) });
    const TimePoint now {};
    window.setHosts({ HostId("h1"), HostId("h2") }, now);
    window.setHosts({ HostId("h1") }, now + Milliseconds(1000));
    DOUBLES_EQUAL(4, window.usage(pool, now + Milliseconds(18'900)).allowed, 0.001);
    DOUBLES_EQUAL(8, window.usage(pool, now + Milliseconds(19'000)).allowed, 0.001);
}
