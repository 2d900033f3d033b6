#include "libserving/linktable.h"
#include "libserving/relaypeers.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Apricot;

namespace {

const Endpoint first { "10.0.0.1", 80 };
const Endpoint second { "10.0.0.2", 80 };
const Endpoint third { "10.0.0.3", 80 };

}

TEST_GROUP(LinkTable)
{
    LinkTable links;
    TimePoint now { std::chrono::seconds(100) };

    void pass(int milliseconds) { now += Milliseconds(milliseconds); }
};

TEST(LinkTable, losesAndRegainsOneLink)
{
    CHECK_TRUE(links.recordUnreachable(first, now));
    CHECK_FALSE(links.recordUnreachable(first, now));
    CHECK_TRUE(links.isLost(first, now));
    CHECK_FALSE(links.isLost(second, now));
    CHECK_TRUE(links.recordReached(first, now).has_value());
    CHECK_FALSE(links.isLost(first, now));
}

TEST(LinkTable, isCutOffOnceSeveralLinksAreLostAndNoServerIsReached)
{
    links.recordReached(third, now);
    pass(10);
    links.recordUnreachable(first, now);
    pass(100);
    CHECK_FALSE(links.isCutOff(now));
    links.recordUnreachable(second, now);
    CHECK_TRUE(links.isCutOff(now));
    CHECK_TRUE(links.isLost(third, now));
    links.recordReached(third, now);
    CHECK_FALSE(links.isCutOff(now));
    CHECK_TRUE(links.isLost(first, now));
    CHECK_FALSE(links.isLost(third, now));
}

// Guards against a host that counts as cut off because several servers ended while others respond.
TEST(LinkTable, isNotCutOffByServersThatEnded)
{
    links.recordUnreachable(first, now);
    links.recordUnreachable(second, now);
    links.recordReached(third, now);
    pass(5000);
    CHECK_FALSE(links.isCutOff(now));
    links.recordUnreachable(first, now);
    links.recordUnreachable(second, now);
    pass(1000);
    CHECK_FALSE(links.isCutOff(now));
}

TEST(LinkTable, probesLostLinksInTurn)
{
    links.recordUnreachable(first, now);
    links.recordUnreachable(second, now);
    links.recordUnreachable(third, now);
    CHECK_TRUE(links.nextToProbe(2) == std::vector<Endpoint>({ first, second }));
    CHECK_TRUE(links.nextToProbe(2) == std::vector<Endpoint>({ third, first }));
    LONGS_EQUAL(3, links.nextToProbe(8).size());
}

// A server that is silent for a while, and responds to others, keeps its link.
TEST(LinkTable, probesSilentServersNowAndThen)
{
    const TimePoint sentAt = now;
    pass(300);
    CHECK_FALSE(links.startSilenceProbe(first, sentAt, now));
    pass(500);
    CHECK_TRUE(links.startSilenceProbe(first, sentAt, now));
    pass(500);
    CHECK_FALSE(links.startSilenceProbe(first, sentAt, now));
    pass(2000);
    links.recordReached(first, now);
    CHECK_FALSE(links.startSilenceProbe(first, sentAt, now));
}

TEST(LinkTable, forgetsServersThatAreNotListed)
{
    links.recordUnreachable(first, now);
    links.recordUnreachable(second, now);
    links.retain({ second });
    CHECK_FALSE(links.isLost(first, now));
    LONGS_EQUAL(1, links.lostLinks());
}

TEST_GROUP(RelayPeers)
{
    RelayPeers peers;
    TimePoint now { std::chrono::seconds(100) };
    const HostId self { "a" };

    void setup() override { peers.setHosts(self, { self, HostId("b"), HostId("c") }); }
};

TEST(RelayPeers, areChosenByCallsInFlight)
{
    const HostId busy = *peers.choose(now);
    peers.onCallStarted(busy);
    const HostId other = *peers.choose(now);
    CHECK_TRUE(other != busy);
    CHECK_TRUE(other != self);
    peers.onCallStarted(other);
    peers.onCallEnded(busy);
    CHECK_TRUE(*peers.choose(now) == busy);
}

TEST(RelayPeers, areAvoidedForAWhileAfterARefusal)
{
    const HostId refusing = *peers.choose(now);
    peers.recordRefusal(refusing, now);
    CHECK_TRUE(*peers.choose(now) != refusing);
    peers.recordSilence(*peers.choose(now), now);
    CHECK_FALSE(peers.choose(now).has_value());
    now += Milliseconds(500);
    CHECK_TRUE(*peers.choose(now) == refusing);
}

// Nothing grows with the number of hosts but the time of one choice of peers.
TEST(RelayPeers, areFewInALargeSystem)
{
    std::vector<HostId> hosts { self };
    for (int index = 0; index < 2000; ++index)
        hosts.emplace_back("host-" + std::to_string(index));
    peers.setHosts(self, hosts);
    std::set<HostId> chosen;
    for (int index = 0; index < 200; ++index)
        chosen.insert(*peers.choose(now));
    LONGS_EQUAL(RelayPeersOptions {}.maxPeers, chosen.size());
}
