#include "gateway/storedeltajson.h"

#include "unit/platformfixture.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>

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

// Guards against handling each change by itself what depends on all objects, such as the place in the relay tree.
TEST(StoreFollower, changesThatArriveTogetherAreHandledTogether)
{
    int applied = 0;
    StoreFollower gathering { context, client, probeState,
        { .prefix = "servers/", .watchTimeout = shortWatchTimeout, .batchDelay = Milliseconds(100) },
        { .onListed = [](const PlatformList&) {},
            .onChanged = [this](const PlatformEvent& event) { seen.push_back("put " + event.key); },
            .onApplied = [&applied] { ++applied; } } };
    runToEnd([&]() -> asio::awaitable<void> {
        gathering.start();
        co_await sleepFor(context.get_executor(), Milliseconds(30));
        for (int index = 0; index < 20; ++index)
            co_await client.put("servers/s" + std::to_string(index), 1, 0);
        co_await waitFor("put servers/s19");
    });
    // The list, the first change, and those that came while changes were gathered.
    CHECK_COMPARE(applied, <=, 3);
}

// Guards against a follower that counts an old list as current, or does not learn what changed since.
TEST(StoreFollower, theFirstListMayBeOldAndIsNotTakenForCurrent)
{
    std::vector<std::string> confirmedAfter;
    StoreFollower starting { context, client, probeState,
        { .prefix = "servers/", .watchTimeout = shortWatchTimeout, .batchDelay = Milliseconds(1) },
        { .onListed = [this](const PlatformList& list) { seen.push_back("list " + std::to_string(list.objects.size())); },
            .onChanged = [this](const PlatformEvent& event) { seen.push_back("put " + event.key); },
            .onConfirmed = [&](TimePoint) { confirmedAfter.push_back(seen.back()); } } };
    runToEnd([&]() -> asio::awaitable<void> {
        for (const char* key : { "servers/s1", "servers/s2", "servers/s3" })
            co_await client.put(key, 1, 0);
        co_await setFaults(R"({"stale_list_lag":2})");
        CHECK_FALSE(starting.isConfirmed());
        starting.start();
        co_await waitFor("put servers/s3");
    });
    CHECK(hasSeen("list 1"));
    CHECK_TRUE(starting.isConfirmed());
    CHECK_EQUAL(std::string("put servers/s3"), confirmedAfter.front());
}

namespace {

// A follower with short watches, whose responses confirm another one with long watches.
struct ConfirmingPair {
    ConfirmingPair(asio::io_context& context, PlatformClient& client)
        : confirming(context, client, probeState, options("config/"),
            { .onListed = [](const PlatformList&) {},
                .onChanged = [](const PlatformEvent&) {},
                .onCall = [this](StoreCallReason) { ++calls; },
                .onLost = [this](const std::string&) { ++losses; },
                .onRegained = [] {},
                .onStoreRevision = [this](ObjectVersion revision, TimePoint knownAt) { confirmed.onStoreRevision(revision, knownAt); } })
        , confirmed(context, client, probeState, options("servers/", true),
              { .onListed = [](const PlatformList&) {},
                  .onChanged = [this](const PlatformEvent& event) { seen.insert(event.key); },
                  .onCall = [this](StoreCallReason) { ++confirmedCalls; },
                  .onLost = [this](const std::string&) { ++losses; },
                  .onRegained = [] {} })
    {
    }

    static StoreFollowerOptions options(const std::string& prefix, bool isConfirmedByOthers = false)
    {
        return { .prefix = prefix,
            .watchTimeout = shortWatchTimeout,
            .batchDelay = Milliseconds(1),
            .retryDelay = Milliseconds(10),
            .maxRetryDelay = Milliseconds(20),
            .isConfirmedByOthers = isConfirmedByOthers };
    }
    void start()
    {
        confirming.start();
        confirmed.start();
    }

    StoreProbeState probeState;
    std::set<std::string> seen;
    int calls = 0;
    int confirmedCalls = 0;
    int losses = 0;
    StoreFollower confirming;
    StoreFollower confirmed;
};

}

// Guards against a short watch for each kind of objects, which all show that the store has not changed.
TEST(StoreFollower, responsesAboutOtherObjectsConfirmThoseThatHaveNotChanged)
{
    ConfirmingPair pair(context, client);
    runToEnd([&]() -> asio::awaitable<void> {
        co_await client.put("servers/s1", 1, 0);
        pair.start();
        co_await sleepFor(context.get_executor(), Milliseconds(1500));
        CHECK(RuntimeClock::now() - pair.confirmed.confirmedAt() < Milliseconds(250));
        // A list and the watch that waits, and a read of what changed before.
        CHECK_COMPARE(pair.confirmedCalls, <=, 3);
        // Changes of a third kind of objects, which confirm neither.
        for (int index = 0; index < 20; ++index) {
            co_await client.put("hosts/h" + std::to_string(index), 1, 0);
            co_await sleepFor(context.get_executor(), Milliseconds(30));
            CHECK(RuntimeClock::now() - pair.confirmed.confirmedAt() < Milliseconds(250));
        }
        // Changes of its own come at once.
        co_await client.put("servers/s2", 1, 0);
        co_await sleepFor(context.get_executor(), Milliseconds(30));
        CHECK(pair.seen.contains("servers/s2"));
    });
    LONGS_EQUAL(0, pair.losses);
}

// Guards against changes that wait for the end of a long watch that the store has lost in an outage.
TEST(StoreFollower, changesAfterAWatchWasLostAreReadOnceTheStoreResponds)
{
    ConfirmingPair pair(context, client);
    runToEnd([&]() -> asio::awaitable<void> {
        co_await client.put("servers/s1", 1, 0);
        pair.start();
        co_await sleepFor(context.get_executor(), Milliseconds(300));
        // Watches that wait now get no response, even after this fault has ended.
        co_await setFaults(R"({"silent":true})");
        co_await setFaults("{}");
        co_await client.put("servers/s2", 1, 0);
        const TimePoint end = RuntimeClock::now() + Milliseconds(3000);
        while (!pair.seen.contains("servers/s2") && RuntimeClock::now() < end)
            co_await sleepFor(context.get_executor(), Milliseconds(10));
        CHECK(pair.seen.contains("servers/s2"));
    });
}

// Guards against changes that each wait for responses about other objects, until the end of a watch that the store has lost.
TEST(StoreFollower, changesComeAtOnceAgainAfterOthersHaveShownThatAWatchWasLost)
{
    ConfirmingPair pair(context, client);
    runToEnd([&]() -> asio::awaitable<void> {
        co_await client.put("servers/s0", 1, 0);
        pair.start();
        co_await sleepFor(context.get_executor(), Milliseconds(300));
        co_await setFaults(R"({"silent":true})");
        co_await setFaults("{}");
        co_await client.put("servers/s1", 1, 0);
        co_await sleepFor(context.get_executor(), Milliseconds(2000));
        CHECK(pair.seen.contains("servers/s1"));
        for (int index = 2; index < 12; ++index) {
            const std::string key = "servers/s" + std::to_string(index);
            co_await client.put(key, 1, 0);
            co_await sleepFor(context.get_executor(), Milliseconds(30));
            CHECK(pair.seen.contains(key));
            co_await sleepFor(context.get_executor(), Milliseconds(90));
        }
    });
}

// Guards against changes that wait for the end of a long watch although the store is known to have lost it.
TEST(StoreFollower, aWatchThatTheStoreLostIsRepeatedOnceItIsAbandoned)
{
    StoreFollower waiting { context, client, probeState, { .prefix = "servers/", .isConfirmedByOthers = true },
        { .onListed = [this](const PlatformList&) { seen.emplace_back("list"); },
            .onChanged = [this](const PlatformEvent& event) { seen.push_back("put " + event.key); },
            .onLost = [this](const std::string&) { seen.emplace_back("lost"); },
            .onRegained = [] {} } };
    runToEnd([&]() -> asio::awaitable<void> {
        waiting.start();
        co_await waitFor("list");
        co_await sleepFor(context.get_executor(), Milliseconds(100));
        co_await setFaults(R"({"silent":true})");
        co_await setFaults("{}");
        waiting.abandonCallsBefore(RuntimeClock::now());
        co_await client.put("servers/s1", 1, 0);
        co_await waitFor("put servers/s1");
    });
    CHECK_FALSE(hasSeen("lost"));
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
        follower.setRelayDepth(1);
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

namespace {

constexpr std::size_t maxRelayedBytes = 4000;
constexpr Milliseconds knownAge { 700 };

// Objects of 1,000 bytes that changed one after the other since a revision.
std::vector<PlatformObject> bulkyChanges(ObjectVersion since, int count)
{
    std::vector<PlatformObject> objects;
    for (int index = 1; index <= count; ++index)
        objects.push_back({ "servers/bulky" + std::to_string(index), since + index, boost::json::string(1000, 'x') });
    return objects;
}

}

// Guards against news of leaving servers that waits behind hundreds of findings about crashes: what comes in bulk is relayed
// a part at a time, and the parts together are everything.
TEST(StoreFollower, relaysABoundedSizeAtATime)
{
    constexpr ObjectVersion firstRevision = 10;
    constexpr int changeCount = 40;
    const StoreFollowerOptions options { .prefix = "servers/", .maxRelayedBytes = maxRelayedBytes };
    std::set<std::string> received;
    StoreFollower parent { context, client, probeState, options,
        { .onListed = [](const PlatformList&) {}, .onChanged = [](const PlatformEvent&) {}, .onRegained = [] {} } };
    StoreFollower child { context, client, probeState, options,
        { .onListed = [](const PlatformList&) {},
            .onChanged = [&](const PlatformEvent& event) { event.value ? received.insert(event.key).second : received.erase(event.key) > 0; },
            .onRegained = [] {} } };
    const TimePoint now = RuntimeClock::now();
    for (StoreFollower* follower : { &parent, &child })
        follower->applyDelta({ .revision = firstRevision, .isSnapshot = true }, now - knownAge);
    parent.applyDelta({ .revision = firstRevision + changeCount, .objects = bulkyChanges(firstRevision, changeCount) }, now);
    parent.applyDelta({ .revision = firstRevision + changeCount + 1, .removed = { "servers/bulky3" } }, now);

    int responses = 0;
    bool isPartial = true;
    while (isPartial && ++responses <= changeCount) {
        const StoreDelta delta = parent.limitedDeltaSince(child.revision(), knownAge, now);
        CHECK_COMPARE(boost::json::serialize(toJson(delta, true, Milliseconds(0))).size(), <=, maxRelayedBytes + 1000);
        CHECK(child.applyDelta(delta, now));
        // A part of the changes shows nothing about the age of what is known.
        CHECK((child.confirmedAt() == now - knownAge) == delta.isPartial);
        isPartial = delta.isPartial;
    }
    LONGS_EQUAL(parent.revision(), child.revision());
    LONGS_EQUAL(changeCount - 1, received.size());
    CHECK_COMPARE(responses, >=, changeCount / 4);
}

// Guards against an object that is larger than a response may be and is never relayed.
TEST(StoreFollower, relaysAnObjectOfAnySize)
{
    StoreFollower parent { context, client, probeState, { .prefix = "servers/", .maxRelayedBytes = 10 },
        { .onListed = [](const PlatformList&) {}, .onChanged = [](const PlatformEvent&) {}, .onRegained = [] {} } };
    const TimePoint now = RuntimeClock::now();
    parent.applyDelta({ .revision = 10, .isSnapshot = true }, now);
    parent.applyDelta({ .revision = 12, .objects = bulkyChanges(10, 2) }, now);
    const StoreDelta first = parent.limitedDeltaSince(10, knownAge, now);
    CHECK(first.isPartial);
    LONGS_EQUAL(1, first.objects.size());
    LONGS_EQUAL(11, first.revision);
    CHECK_FALSE(parent.limitedDeltaSince(11, knownAge, now).isPartial);
}

// Guards against hosts that all read from the store what their parents are sending them a part at a time.
TEST(StoreFollower, waitsForTheRestOfWhatItsParentSends)
{
    int calls = 0;
    StoreFollower child { context, client, probeState,
        { .prefix = "servers/", .maxRelayedAge = Milliseconds(300) },
        { .onListed = [](const PlatformList&) {},
            .onChanged = [](const PlatformEvent&) {},
            .onCall = [&calls](StoreCallReason) { ++calls; },
            .onRegained = [] {} } };
    runToEnd([&]() -> asio::awaitable<void> {
        child.applyDelta({ .revision = 10, .isSnapshot = true }, RuntimeClock::now());
        child.setRelayDepth(1);
        child.start();
        for (int part = 1; part <= 10; ++part) {
            co_await sleepFor(context.get_executor(), Milliseconds(150));
            StoreDelta delta { .revision = ObjectVersion(10 + part), .age = Milliseconds(150 * part), .isPartial = true };
            delta.objects = bulkyChanges(9 + part, 1);
            child.applyDelta(delta, RuntimeClock::now());
        }
        CHECK_EQUAL(0, calls);
        co_await sleepFor(context.get_executor(), Milliseconds(600));
        CHECK_COMPARE(calls, >, 0);
    });
}
