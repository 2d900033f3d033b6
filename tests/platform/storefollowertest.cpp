#include "gateway/storefollower.h"

#include "unit/platformfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace Apricot;
namespace asio = boost::asio;

namespace {

constexpr Milliseconds shortWatchTimeout { 100 };

class FollowerTestBase : public Utest, public PlatformFixture { };

}

TEST_GROUP_BASE(StoreFollower, FollowerTestBase)
{
    std::vector<std::string> seen;
    StoreProbeState probeState;
    StoreFollower follower { context, client, probeState,
        { .prefix = "servers/",
            .watchTimeout = shortWatchTimeout,
            .batchDelay = Milliseconds(1),
            .retryDelay = Milliseconds(10),
            .maxRetryDelay = Milliseconds(20) },
        { .onListed = [this](const PlatformList& list) { seen.push_back("list " + std::to_string(list.objects.size())); },
            .onChanged = [this](const PlatformEvent& event) { seen.push_back((event.value ? "put " : "gone ") + event.key); },
            .onLost = [this](const std::string&) { seen.emplace_back("lost"); },
            .onRegained = [this] { seen.emplace_back("regained"); } } };

    bool hasSeen(const std::string& what) const
    {
        return std::find(seen.begin(), seen.end(), what) != seen.end();
    }
    asio::awaitable<void> waitFor(std::string what)
    {
        const TimePoint end = RuntimeClock::now() + Milliseconds(3000);
        while (!hasSeen(what) && RuntimeClock::now() < end)
            co_await sleepFor(context.get_executor(), Milliseconds(5));
        CHECK_TEXT(hasSeen(what), what.c_str());
    }
};

TEST(StoreFollower, reportsExistingObjectsAndChanges)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await client.put("servers/s1", 1, 0);
        follower.start();
        co_await waitFor("list 1");
        co_await client.put("servers/s2", 1, 0);
        co_await client.remove("servers/s1", std::nullopt);
        co_await waitFor("put servers/s2");
        co_await waitFor("gone servers/s1");
    });
}

// Guards against reading the store without a pause after an error that has no text.
TEST(StoreFollower, anErrorWithoutTextIsAnError)
{
    int lists = 0;
    StoreFollower failing { context, client, probeState,
        { .prefix = "servers/", .retryDelay = Milliseconds(50), .maxRetryDelay = Milliseconds(50) },
        { .onListed = [&lists](const PlatformList&) {
             ++lists;
             throw std::runtime_error(""); },
            .onLost = [this](const std::string&) { seen.emplace_back("lost"); },
            .onRegained = [] {} } };
    runToEnd([&]() -> asio::awaitable<void> {
        failing.start();
        co_await waitFor("lost");
        co_await sleepFor(context.get_executor(), Milliseconds(200));
    });
    CHECK_COMPARE(lists, <=, 5);
}

// Guards against changes that are taken for old ones, because a store that came back from an older copy gives out
// their revisions again.
TEST(StoreFollower, changesAfterTheStoreCameBackFromAnOlderCopyAreSeen)
{
    runToEnd([this]() -> asio::awaitable<void> {
        for (const char* key : { "servers/s1", "servers/s2", "servers/s3" })
            co_await client.put(key, 1, 0);
        follower.start();
        co_await waitFor("list 3");
        co_await setFaults(R"({"lose_changes":2})");
        co_await waitFor("list 1");
        co_await client.put("servers/s4", 1, 0);
        co_await waitFor("put servers/s4");
        // As many changes as were lost may come before the next watch.
        co_await setFaults(R"({"lose_changes":1})");
        co_await client.put("servers/s5", 1, 0);
        co_await waitFor("list 2");
        seen.clear();
        co_await client.put("servers/s6", 1, 0);
        co_await waitFor("put servers/s6");
    });
}

// Guards against changes that are missed for as long as the store does not name its era.
TEST(StoreFollower, changesAreSeenInResponsesThatDoNotNameTheEra)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await client.put("servers/s1", 1, 0);
        co_await client.put("servers/s2", 1, 0);
        follower.start();
        co_await waitFor("list 2");
        co_await setFaults(R"({"lose_changes":1})");
        co_await waitFor("list 1");
        seen.clear();
        co_await setFaults(R"({"hide_era":true})");
        co_await client.put("servers/s3", 1, 0);
        co_await waitFor("put servers/s3");
        CHECK(!hasSeen("list 2"));
    });
}

// A store that was unresponsive never responds to a watch sent before, even once it responds to other
// calls again. A change must not be delayed by more than the timeout of that watch.
TEST(StoreFollower, anUnansweredWatchDelaysAChangeByAtMostItsTimeout)
{
    runToEnd([this]() -> asio::awaitable<void> {
        follower.start();
        co_await waitFor("list 0");
        co_await setFaults(R"({"silent":true})");
        co_await sleepFor(context.get_executor(), shortWatchTimeout / 2);
        co_await setFaults("{}");
        co_await client.put("servers/s1", 1, 0);
        const TimePoint writtenAt = RuntimeClock::now();
        co_await waitFor("put servers/s1");
        // The fixture's client waits another 500 ms beyond the watch's timeout for a response.
        CHECK(RuntimeClock::now() - writtenAt < shortWatchTimeout + Milliseconds(500 + 200));
    });
}

// Guards against work sent to removed servers: a host that had lost the store and then relied on its
// peers still considered the store lost, and therefore kept servers whose entries were removed.
TEST(StoreFollower, freshPeerStateEndsAnOutageForARelayedHost)
{
    runToEnd([this]() -> asio::awaitable<void> {
        follower.start();
        co_await waitFor("list 0");
        co_await setFaults(R"({"outage":true})");
        co_await waitFor("lost");
        follower.setRelayed(true);
        const StoreDelta delta { .revision = 50, .age = Milliseconds(300), .isSnapshot = true };
        CHECK(follower.applyDelta(delta, RuntimeClock::now()));
        CHECK(hasSeen("regained"));
        CHECK(!follower.isLost());
    });
}

TEST(StoreFollower, ignoresOlderPeerState)
{
    const TimePoint now = RuntimeClock::now();
    const StoreDelta newer { .revision = 20,
        .isSnapshot = true,
        .objects = { { "servers/s1", 15, 1 }, { "servers/s2", 20, 1 } } };
    CHECK(follower.applyDelta(newer, now));
    CHECK(!follower.applyDelta({ .revision = 10, .isSnapshot = true }, now));
    const StoreDelta delta = follower.deltaSince(15, now);
    // For a revision older than the last snapshot, the removals are unknown, so a snapshot is sent.
    CHECK(delta.isSnapshot);
    LONGS_EQUAL(2, delta.objects.size());
}

TEST(StoreFollower, relaysChangesAndRemovals)
{
    const TimePoint now = RuntimeClock::now();
    follower.applyDelta({ .revision = 20, .isSnapshot = true, .objects = { { "servers/s1", 15, 1 } } }, now);
    follower.applyDelta(
        { .revision = 30, .objects = { { "servers/s2", 25, 1 } }, .removed = { "servers/s1" } }, now);
    const StoreDelta delta = follower.deltaSince(20, now);
    CHECK(!delta.isSnapshot);
    LONGS_EQUAL(30, delta.revision);
    CHECK(delta.removed == std::vector<std::string>({ "servers/s1" }));
    LONGS_EQUAL(1, delta.objects.size());
    CHECK(follower.deltaSince(30, now).objects.empty());
}
