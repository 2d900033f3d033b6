#include "platformfixture.h"

#include "dispatch/controlplane.h"
#include "libapricot/cataloguejson.h"
#include "libnet/asyncevent.h"
#include "libnet/controlfollower.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace asio = boost::asio;

namespace {

constexpr int serverCount = 8;
constexpr Milliseconds waitTimeout { 8000 };
constexpr Milliseconds pollInterval { 10 };

// Membership times at a tenth of their defaults.
CellMembershipOptions fastMembershipOptions()
{
    return { .evidence = { .evidenceLease = Milliseconds(400), .configLease = Milliseconds(600) },
        .renewInterval = Milliseconds(100),
        .changeInterval = Milliseconds(25),
        .successionStep = Milliseconds(50),
        .readInterval = Milliseconds(100),
        .removalTime = Milliseconds(500),
        .yieldInterval = Milliseconds(6000) };
}

ControlPlaneOptions fastControlPlaneOptions(const std::string& host, std::uint16_t port, std::uint16_t platformPort)
{
    return { .host = HostId(host),
        .failureDomain = FailureDomainId("zone-" + host),
        .endpoint = { "127.0.0.1", port },
        .platform = { "127.0.0.1", platformPort },
        .membership = fastMembershipOptions(),
        .config = { .watchTimeout = Milliseconds(100),
            .retryInterval = Milliseconds(50),
            .staleTime = Milliseconds(300) },
        .heartbeatInterval = Milliseconds(50),
        .heartbeatTimeout = Milliseconds(200),
        .rejoinDelay = Milliseconds(300) };
}

// The control plane of one dispatch daemon, with its own peer server. Can ignore requests.
class TestMember {
public:
    TestMember(asio::io_context& context, const std::string& host, std::uint16_t platformPort)
        : m_server(context, {}, [this](std::shared_ptr<PeerStream> stream) { return serve(stream); })
        , m_controlPlane(context, fastControlPlaneOptions(host, m_server.port(), platformPort))
    {
        m_controlPlane.start();
    }

    ControlPlane& controlPlane() { return m_controlPlane; }
    std::uint16_t port() const { return m_server.port(); }
    void setIgnoresRequests(bool ignoresRequests) { m_ignoresRequests = ignoresRequests; }
    // Ignores the heartbeats of one host; with an empty name, of none.
    void setIgnoredHost(const std::string& host) { m_ignoredHost = HostId(host); }
    std::shared_ptr<const ControlView> view() const { return m_controlPlane.view(); }
    bool isPermitted() const { return view()->permits(RuntimeClock::now()); }

private:
    asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream)
    {
        std::optional<Message> request = co_await stream->read();
        if (!request || m_ignoresRequests)
            co_return;
        const auto* heartbeatMessage = std::get_if<HeartbeatMessage>(&*request);
        if (heartbeatMessage && heartbeatMessage->heartbeat.sender.host == m_ignoredHost)
            co_return;
        std::optional<Message> response = co_await m_controlPlane.respondTo(std::move(*request));
        if (response)
            co_await stream->write(std::move(*response));
    }

    bool m_ignoresRequests = false;
    HostId m_ignoredHost;
    PeerServer m_server;
    ControlPlane m_controlPlane;
};

class ControlPlaneTestBase : public Utest, public PlatformFixture { };

}

TEST_GROUP_BASE(ControlPlane, ControlPlaneTestBase)
{
    TestMember one { context, "one", platform.port() };
    TestMember two { context, "two", platform.port() };
    TestMember three { context, "three", platform.port() };

    asio::awaitable<void> waitUntil(std::string description, std::function<bool()> condition)
    {
        const TimePoint deadline = RuntimeClock::now() + waitTimeout;
        while (!condition() && RuntimeClock::now() < deadline)
            co_await sleepFor(context.get_executor(), pollInterval);
        if (!condition())
            throw std::runtime_error("timed out waiting for: " + description);
    }

    bool haveMemberCount(std::size_t count)
    {
        for (const TestMember* member : { &one, &two, &three }) {
            if (member->view()->cell->members.size() != count)
                return false;
        }
        return true;
    }

    bool areAllPermitted() { return one.isPermitted() && two.isPermitted() && three.isPermitted(); }

    asio::awaitable<void> waitForThreeMembers()
    {
        co_await waitUntil("three permitted members", [this] { return haveMemberCount(3) && areAllPermitted(); });
    }

    asio::awaitable<void> addServers()
    {
        for (int index = 0; index < serverCount; ++index) {
            const std::string id = "s" + std::to_string(index);
            const BackendServer server { .id = BackendServerId(id),
                .pool = PoolId("pool"),
                .host = HostId("machine"),
                .failureDomain = FailureDomainId("zone"),
                .address = "127.0.0.1",
                .port = 1 };
            co_await client.put("servers/" + id, toJson(server), 0);
        }
        co_await waitUntil("a home of each server in the view of each member",
            [this] { return hasAllHomes(one) && hasAllHomes(two) && hasAllHomes(three); });
    }

    static std::size_t countHomes(const TestMember& member, const std::string& host)
    {
        std::size_t count = 0;
        for (const auto& [server, home] : member.view()->cell->homes) {
            if (home.home == HostId(host))
                ++count;
        }
        return count;
    }

    static bool hasAllHomes(const TestMember& member)
    {
        return member.view()->cell->homes.size() == serverCount && countHomes(member, "") == 0;
    }
};

TEST(ControlPlane, membersJoinAndShareTheConfiguration)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await waitForThreeMembers();
        co_await addServers();
        co_await client.put("catalogue/bad", "no entry", 0);
        std::optional<PlatformObject> status;
        while (!status || status->value.at("invalid").as_array().empty()) {
            co_await sleepFor(context.get_executor(), Milliseconds(50));
            status = co_await client.get("status/two");
        }
        STRCMP_EQUAL("catalogue/bad",
            status->value.at("invalid").at(0).at("key").as_string().c_str());
    });
}

TEST(ControlPlane, entryFollowsItsDispatchDaemon)
{
    ControlFollower follower(
        context, { .host = HostId("one"), .dispatch = { "127.0.0.1", one.port() } });
    runToEnd([&]() -> asio::awaitable<void> {
        follower.start();
        co_await waitForThreeMembers();
        co_await addServers();
        co_await waitUntil("servers, members and permission at the entry daemon", [&] {
            const auto view = follower.view();
            return view->catalogue->servers.size() == serverCount && view->cell->members.size() == 3
                && view->permits(RuntimeClock::now());
        });
        one.setIgnoresRequests(true);
        co_await waitUntil("end of the entry daemon's permission",
            [&] { return !follower.view()->permits(RuntimeClock::now()); });
    });
}

TEST(ControlPlane, aPlatformOutageForAllMembersSuspendsNone)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await waitForThreeMembers();
        co_await setFaults(R"({"outage":true})");
        const TimePoint end = RuntimeClock::now() + Milliseconds(1500);
        while (RuntimeClock::now() < end) {
            CHECK(areAllPermitted());
            co_await sleepFor(context.get_executor(), pollInterval);
        }
    });
}

TEST(ControlPlane, aMemberCutOffAloneIsSuspendedAndRejoinsWithANewIncarnation)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await waitForThreeMembers();
        co_await addServers();
        CHECK(countHomes(three, "three") > 0);
        const std::string incarnationBefore = three.view()->incarnation;
        // Heartbeats between member three and the others get no response, and it can't reach the platform.
        one.setIgnoredHost("three");
        two.setIgnoredHost("three");
        three.setIgnoresRequests(true);
        co_await setFaults(R"({"cut_hosts":["three"]})");
        co_await waitUntil("end of the permission of member three", [this] { return !three.isPermitted(); });
        co_await waitUntil("removal of member three",
            [this] { return one.view()->cell->members.size() == 2 && one.isPermitted(); });
        one.setIgnoredHost("");
        two.setIgnoredHost("");
        three.setIgnoresRequests(false);
        co_await setFaults("{}");
        co_await waitForThreeMembers();
        CHECK(three.view()->incarnation != incarnationBefore);
    });
}

TEST(ControlPlane, aLeavingMemberIsRemovedAfterItsReplicasAreReassigned)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await waitForThreeMembers();
        co_await addServers();
        CHECK(countHomes(one, "two") > 0);
        two.controlPlane().beginLeaving();
        co_await waitUntil("reassignment of all homes of member two", [this] { return countHomes(two, "two") == 0; });
        CHECK(two.view()->cell->findMember(HostId("two")));
        co_await two.controlPlane().finishLeaving(waitTimeout);
        CHECK(!two.view()->cell->findMember(HostId("two")));
        co_await waitUntil("two members with confirmed homes only", [this] {
            const auto view = one.view();
            for (const auto& [server, home] : view->cell->homes) {
                if (!home.unconfirmedHome.empty())
                    return false;
            }
            return view->cell->members.size() == 2 && view->cell->removed.empty();
        });
    });
}
