#include "emulator/link/link.h"
#include "gateway/peerviewsync.h"
#include "libnet/asyncevent.h"
#include "libserving/relaytree.h"

#include "clustersupport.h"
#include "unit/platformfixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <string>
#include <vector>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

constexpr Milliseconds linkDelay { 250 };
constexpr Milliseconds observedTime { 4000 };
constexpr Milliseconds sampleInterval { 5 };
constexpr int hostCount = 20;

std::vector<HostId> hostIds()
{
    std::vector<HostId> ids;
    ids.reserve(hostCount);
    for (int host = 0; host < hostCount; ++host)
        ids.emplace_back("host-" + std::to_string(host));
    return ids;
}

// A host that watches the store for others, or one below these.
std::string hostWithPlace(bool isWatcher)
{
    for (const HostId& id : hostIds()) {
        if (findRelayPosition(id, hostIds()).isWatcher == isWatcher)
            return id.value();
    }
    return {};
}

// The part of a gateway host that knows what the store contains.
struct ViewOfHost {
    ViewOfHost(Asio::io_context& context, PlatformClient& store, const std::string& id)
        : updater(context, store, view, calls, HostId(id), {})
        , sync(context, updater, view, peers, HostId(id), {})
        , peers(context)
    {
        updater.setChangeHandler([this] { sync.onHostsChanged(); });
        updater.setConfirmedHandler([this] { sync.onConfirmed(); });
    }

    const StoreFollower& config() { return *updater.followers().front(); }

    ServingView view;
    MetricRegistry metrics;
    StoreCallCounter calls { metrics };
    ServingViewUpdater updater;
    PeerViewSync sync;
    PeerClient peers;
};

struct ViewAgeBase : Utest, PlatformFixture {
    Asio::awaitable<void> respond(std::shared_ptr<PeerStream> stream)
    {
        const std::optional<Message> request = co_await stream->read();
        std::string text = std::get<TextMessage>(*request).json;
        std::string body = co_await parent.sync.respondTo(std::move(text));
        Message response = TextMessage { PeerViewSync::topic, std::move(body) };
        co_await stream->write(std::move(response));
    }
    // Registers a larger fleet, all hosts of which are reached through the link to the parent.
    Asio::awaitable<void> registerHosts()
    {
        for (const HostId& id : hostIds()) {
            boost::json::value entry { { "endpoint", localAddress(parentLink->port()) }, { "failure_domain", "zone-1" } };
            co_await client.put("apricot-hosts/" + id.value(), std::move(entry), 0);
            child.view.putHost(id, { { "127.0.0.1", parentLink->port() }, {} });
        }
        child.sync.onHostsChanged();
    }
    Asio::awaitable<void> writeConfig(int version)
    {
        boost::json::value config { { "version", version } };
        co_await client.put("config/main", std::move(config), std::nullopt);
    }

    // No store listens there, so that the child knows only what its parent relays.
    PlatformClient unreachableStore { context, { .port = findFreePort() } };
    ViewOfHost parent { context, client, hostWithPlace(true) };
    ViewOfHost child { context, unreachableStore, hostWithPlace(false) };
    PeerServer parentServer { context, {},
        [this](std::shared_ptr<PeerStream> stream) -> Asio::awaitable<void> { co_await respond(std::move(stream)); } };
    std::shared_ptr<Link> parentLink
        = std::make_shared<Link>(context, LinkOptions { .targetPort = parentServer.port() });
    std::shared_ptr<Link> storeLink
        = std::make_shared<Link>(context, LinkOptions { .targetPort = platform.port() });
};

}

// How old a host takes for what it knows of the store's contents.
TEST_GROUP_BASE(ViewAge, ViewAgeBase) {};

// Guards against a host that takes relayed state for newer than its peer does, by the time of the response on the way, and
// so reads the store too late after a change.
TEST(ViewAge, relayedStateIsNoNewerThanAtThePeerThatRelaysIt)
{
    parentLink->setFaults({ .delay = linkDelay });
    parentLink->start();
    Duration largestLead { 0 };
    runToEnd([&]() -> Asio::awaitable<void> {
        co_await registerHosts();
        for (StoreFollower* follower : parent.updater.followers())
            follower->start();
        child.sync.start();
        const TimePoint end = RuntimeClock::now() + observedTime;
        for (int version = 1; RuntimeClock::now() < end; ++version) {
            if (version % 100 == 1)
                co_await writeConfig(version);
            co_await sleepFor(context.get_executor(), sampleInterval);
            largestLead = std::max(largestLead, child.config().confirmedAt() - parent.config().confirmedAt());
        }
    });
    CHECK_TRUE(child.config().isConfirmed());
    CHECK_COMPARE(inMilliseconds(largestLead), <=, 0);
}

// Guards against a host that takes the store's contents for current at the arrival of a response, although they may have
// changed while it was on the way.
TEST(ViewAge, whatChangedBeforeTheContentsWereCurrentIsKnown)
{
    storeLink->setFaults({ .delay = linkDelay });
    storeLink->start();
    PlatformClient distantStore { context, { .port = storeLink->port(), .timeout = Milliseconds(1500) } };
    StoreProbeState probeState;
    std::size_t known = 0;
    StoreFollower follower { context, distantStore, probeState,
        { .prefix = "config/", .watchTimeout = Milliseconds(700), .batchDelay = Milliseconds(50) },
        { .onListed = [&known](const PlatformList& list) { known = list.objects.size(); },
            .onChanged = [&known](const PlatformEvent&) { ++known; },
            .onLost = [](const std::string&) {},
            .onRegained = [] {} } };
    std::size_t missed = 0;
    runToEnd([&]() -> Asio::awaitable<void> {
        follower.start();
        std::vector<TimePoint> written;
        const TimePoint end = RuntimeClock::now() + observedTime;
        while (RuntimeClock::now() < end) {
            co_await client.put("config/object-" + std::to_string(written.size()), 1, 0);
            written.push_back(RuntimeClock::now());
            co_await sleepFor(context.get_executor(), sampleInterval * 10);
            const auto current = std::count_if(written.begin(), written.end(),
                [&follower](TimePoint at) { return at < follower.confirmedAt(); });
            missed = std::max(missed, static_cast<std::size_t>(current) - std::min<std::size_t>(current, known));
        }
    });
    CHECK_TRUE(follower.isConfirmed());
    LONGS_EQUAL(0, missed);
}

// Guards against a configuration that is read too late, because a response about other objects is awaited first.
TEST(ViewAge, theConfigurationIsReadWhileAResponseAboutOtherObjectsIsAwaited)
{
    StoreProbeState probeState;
    const int otherFollower = 0;
    int refreshes = 0;
    StoreFollower follower { context, client, probeState,
        { .prefix = "config/", .maxRelayedAge = Milliseconds(200), .isRefreshedAtOnce = true },
        { .onListed = [](const PlatformList&) {},
            .onChanged = [](const PlatformEvent&) {},
            .onCall = [&refreshes](StoreCallReason reason) { refreshes += reason == StoreCallReason::Outdated ? 1 : 0; },
            .onLost = [](const std::string&) {},
            .onRegained = [] {} } };
    runToEnd([&]() -> Asio::awaitable<void> {
        co_await writeConfig(1);
        follower.setRelayDepth(1);
        follower.start();
        co_await sleepFor(context.get_executor(), Milliseconds(100));
        probeState.refresher = &otherFollower;
        co_await sleepFor(context.get_executor(), Milliseconds(2000));
    });
    CHECK_COMPARE(refreshes, >, 0);
    POINTERS_EQUAL(&otherFollower, probeState.refresher);
}

// Guards against a configuration that becomes old while another kind of objects, whose last call failed, waits for its next
// attempt.
TEST(ViewAge, theConfigurationIsReadWhileAnotherKindWaitsToProbeTheStore)
{
    StoreProbeState probeState;
    const int otherFollower = 0;
    StoreFollower follower { context, client, probeState,
        { .prefix = "config/", .maxRelayedAge = Milliseconds(200), .isRefreshedAtOnce = true, .hasBoundedAge = true },
        { .onListed = [](const PlatformList&) {},
            .onChanged = [](const PlatformEvent&) {},
            .onLost = [](const std::string&) {},
            .onRegained = [] {} } };
    Duration age { 0 };
    runToEnd([&]() -> Asio::awaitable<void> {
        co_await writeConfig(1);
        follower.setRelayDepth(2);
        follower.start();
        co_await sleepFor(context.get_executor(), Milliseconds(1500));
        CHECK_TRUE(follower.isConfirmed());
        probeState.prober = &otherFollower;
        co_await sleepFor(context.get_executor(), Milliseconds(3000));
        age = RuntimeClock::now() - follower.confirmedAt();
    });
    // Half of the time in which a change has to be in force.
    CHECK_COMPARE(inMilliseconds(age), <, 1500);
}
