#include "gatewaycluster.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdlib>

using namespace Apricot;

namespace {

constexpr std::size_t hostCount = 4;
constexpr int serverCount = 6;
constexpr Milliseconds step { 10 };
constexpr Milliseconds playTime { 8000 };
// Bound of the users' platform: requests of one host that a server may get from a time after it asked for rest to the
// end of that time.
constexpr Milliseconds raceTime { 500 };
constexpr std::size_t allowedRequests = 2;
// Time after a response of a leaving server from which the host that passed it on sends it no requests.
constexpr Milliseconds drainTime { 2000 };
// Time within which a request is refused if all of its servers rest.
constexpr Milliseconds refusalTime { 300 };

std::string hostWord(std::size_t host) { return "host-" + std::to_string(host) + " "; }

}

TEST_GROUP(ServerRest)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Allowed };
    int requests = 0;

    void addServers(const std::string& pool, int resting, const std::string& rest)
    {
        cluster.addServers(pool, serverCount);
        cluster.waitUntilReady();
        for (int position = 0; position < resting; ++position)
            cluster.rests[cluster.serverId(pool, static_cast<std::size_t>(position))] = rest;
    }

    void play(const std::vector<std::string>& paths, Milliseconds time)
    {
        for (int index = 0; index < time / step; ++index) {
            const auto number = static_cast<std::size_t>(requests++);
            const std::size_t host = number % hostCount;
            cluster.send(host, paths[number / hostCount % paths.size()],
                hostWord(host) + "ordinary " + std::to_string(number));
            cluster.runFor(step);
        }
        cluster.runFor(Milliseconds(300));
    }

    // Most requests with a word that a server got within a rest that it had asked for.
    std::size_t mostWithinRest(const std::string& word) const
    {
        std::size_t most = 0;
        for (const TurnedAway& first : cluster.turnedAway) {
            const auto rest = std::chrono::duration<double>(std::strtod(first.rest.c_str(), nullptr));
            const auto count = std::count_if(
                cluster.turnedAway.begin(), cluster.turnedAway.end(), [&](const TurnedAway& other) {
                    return other.server == first.server && other.at > first.at + raceTime
                        && other.at < first.at + rest && first.content.find(word) != std::string::npos
                        && other.content.find(word) != std::string::npos;
                });
            most = std::max(most, static_cast<std::size_t>(count));
        }
        return most;
    }

    void checkRests()
    {
        CHECK_COMPARE(cluster.turnedAway.size(), >=, 1);
        for (std::size_t host = 0; host < hostCount; ++host)
            CHECK_COMPARE(mostWithinRest(hostWord(host)), <=, allowedRequests);
    }

    void checkServedBesideRests(const std::string& pool, const std::vector<std::string>& paths, const std::string& rest)
    {
        addServers(pool, serverCount / 2, rest);
        play(paths, playTime);
        checkRests();
        LONGS_EQUAL(requests, cluster.countResponses("ordinary", 200));
    }
};

TEST(ServerRest, isKeptByRequests)
{
    checkServedBesideRests("plain", { "/again/x", "/once/x" }, "3");
}

TEST(ServerRest, ofAFractionIsKept)
{
    checkServedBesideRests("plain", { "/again/x", "/once/x" }, "1.5");
}

TEST(ServerRest, isKeptByStreams)
{
    checkServedBesideRests("engines", { "/stream/x", "/live/x" }, "3");
}

TEST(ServerRest, isKeptByCallsOfStages)
{
    cluster.addServers("engines", 2);
    addServers("stages", serverCount / 2, "3");
    // All requests are sent to one host, which is the only one that is up.
    for (std::size_t host = 1; host < hostCount; ++host)
        cluster.killHost(host);
    for (int index = 0; index < 150; ++index) {
        cluster.send(0, "/staged/x", "ordinary " + std::to_string(requests++));
        cluster.runFor(Milliseconds(50));
    }
    cluster.runFor(Milliseconds(500));
    CHECK_COMPARE(cluster.turnedAway.size(), >=, 1);
    CHECK_COMPARE(mostWithinRest(""), <=, allowedRequests);
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >=, 100);
}

// Nothing is sent, and nothing held, while no server of a pool wants anything.
TEST(ServerRest, ofAWholePoolRefusesAtOnceUntilItEnds)
{
    addServers("plain", serverCount, "3");
    play({ "/again/x" }, Milliseconds(1000));
    const TimePoint sentAt = RuntimeClock::now();
    const ClusterResponse refused = cluster.call(0, { .path = "/again/x", .content = "late" });
    CHECK_TRUE(RuntimeClock::now() - sentAt < refusalTime);
    LONGS_EQUAL(503, refused.status);
    CHECK_COMPARE(std::strtod(refused.retryAfter.c_str(), nullptr), >=, 0.5);
    play({ "/again/x" }, Milliseconds(3000));
    checkRests();
    cluster.rests.clear();
    cluster.runFor(Milliseconds(3200));
    const TimePoint endedAt = RuntimeClock::now();
    play({ "/again/x" }, Milliseconds(1000));
    for (const ClusterResponse& response : cluster.responses)
        CHECK_TRUE(response.sentAt < endedAt || response.status == 200);
}

TEST(ServerRest, isNotShortenedByALaterOne)
{
    addServers("plain", serverCount / 2, "3");
    const std::map<std::string, std::string> longRests = cluster.rests;
    play({ "/again/x" }, Milliseconds(300));
    for (auto& [server, rest] : cluster.rests)
        rest = "0.1";
    play({ "/again/x" }, Milliseconds(2400));
    for (TurnedAway& entry : cluster.turnedAway)
        entry.rest = entry.rest == "3" ? "2.7" : entry.rest;
    checkRests();
}

TEST(ServerRest, endsWithTheServersNextStart)
{
    cluster.serverDownTime = Milliseconds(500);
    addServers("plain", serverCount, "30");
    play({ "/again/x" }, Milliseconds(1000));
    cluster.rests.clear();
    cluster.endServers("plain");
    cluster.runFor(Milliseconds(3000));
    const TimePoint from = RuntimeClock::now();
    play({ "/again/x" }, Milliseconds(1000));
    for (const ClusterResponse& response : cluster.responses)
        CHECK_TRUE(response.sentAt < from || response.status == 200);
}

TEST(ServerRest, thatIsNoNumberOfSecondsChangesNothing)
{
    addServers("plain", 1, "");
    for (const char* value : { "", "-3", "soon", "inf", "nan", "3 s", "Fri, 04 Dec 2026 15:18:38 GMT" }) {
        cluster.rests.begin()->second = value;
        cluster.turnedAway.clear();
        play({ "/again/x" }, Milliseconds(700));
        CHECK_COMPARE_TEXT(cluster.turnedAway.size(), >=, 4, value);
    }
}

// Guards against requests to a server that said that it leaves while the store still lists it as ready.
TEST(ServerRest, leavingServersGetNoMoreRequests)
{
    addServers("plain", 0, "");
    play({ "/again/x" }, Milliseconds(500));
    const std::string server = cluster.serverId("plain", 0);
    cluster.leaving.insert(server);
    play({ "/again/x" }, Milliseconds(1000));
    const TimePoint from = RuntimeClock::now() + drainTime - Milliseconds(1000);
    play({ "/again/x" }, Milliseconds(4000));
    LONGS_EQUAL(0, cluster.runsAt(server, from));
    LONGS_EQUAL(requests, cluster.countResponses("ordinary", 200));
}
