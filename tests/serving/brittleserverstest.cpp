#include "libserving/brittleservers.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(BrittleServers)
{
    BrittleServers servers;
    TimePoint now { std::chrono::seconds(100) };
    const ServerEntry server { .id = BackendServerId("s"), .pool = PoolId("p"), .slots = 8, .startedAt = 1 };
};

TEST(BrittleServers, giveEachHostItsPartOfTheirSlots)
{
    CHECK_TRUE(servers.hasRoom(server, 100, 4, now));
    CHECK_TRUE(servers.record(server, 6, now, now));
    CHECK_TRUE(servers.hasRoom(server, 1, 4, now));
    CHECK_FALSE(servers.hasRoom(server, 2, 4, now));
    // At least one, however many hosts there are.
    CHECK_TRUE(servers.hasRoom(server, 0, 100, now));
    CHECK_FALSE(servers.hasRoom(server, 1, 100, now));
}

// All hosts together cause fewer refusals in a second than the server can bear, even if each try is refused.
TEST(BrittleServers, arePausedAfterARefusal)
{
    const std::size_t hosts = 12;
    servers.record(server, 6, now, now);
    servers.recordRefusal(server, hosts, now);
    const Duration pause = servers.pausedUntil({ server.id, 1 }) - now;
    CHECK_TRUE(pause >= std::chrono::seconds(hosts) / 6);
    CHECK_FALSE(servers.hasRoom(server, 0, hosts, now));
    CHECK_TRUE(servers.hasRoom(server, 0, hosts, now + pause));
}

TEST(BrittleServers, endWithALaterResponseAlone)
{
    servers.record(server, 6, now, now);
    CHECK_FALSE(servers.record(server, std::nullopt, now - Milliseconds(5), now));
    CHECK_FALSE(servers.hasRoom(server, 8, 4, now));
    CHECK_TRUE(servers.record(server, std::nullopt, now + Milliseconds(5), now));
    CHECK_TRUE(servers.hasRoom(server, 8, 4, now));
}

// Guards against a server that starts again and gets the whole load before its first response.
TEST(BrittleServers, thatStartAgainCountAsBrittleLikeTheirPool)
{
    servers.record(server, 6, now, now);
    ServerEntry next = server;
    next.id = BackendServerId("t");
    CHECK_FALSE(servers.hasRoom(next, 2, 4, now));
    CHECK_TRUE(servers.hasRoom(next, 2, 4, now + std::chrono::seconds(30)));
}
