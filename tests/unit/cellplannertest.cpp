#include "libapricot/cellplanner.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

const TimePoint startTime { std::chrono::hours(1) };

Member memberNamed(const std::string& host)
{
    return { .host = HostId(host), .incarnation = "1" };
}

}

// A cell of five members whose writer is "a". Each member that responds has the epoch of the last
// membership change.
TEST_GROUP(CellPlanner)
{
    CellState cell { .members = { memberNamed("a"), memberNamed("b"), memberNamed("c"),
                         memberNamed("d"), memberNamed("e") },
        .membersSince = 5 };
    Member self = memberNamed("a");
    PeerContacts contacts;
    std::map<HostId, ReceivedHeartbeat> heartbeats;
    std::shared_ptr<Catalogue> catalogue = std::make_shared<Catalogue>();
    TimePoint now = startTime + Milliseconds(10000);

    void recordResponse(const std::string& host, TimePoint askedAt)
    {
        contacts.recordResponse(
            { HostId(host), "1" }, { .incarnation = "1", .requestSentAt = askedAt, .epoch = 5 });
    }

    CellState plan() const
    {
        const CellPlanInputs inputs { .current = cell,
            .epoch = 7,
            .self = self,
            .contacts = contacts,
            .heartbeats = heartbeats,
            .catalogue = catalogue,
            .now = now,
            .pollingSince = startTime };
        return CellPlanner(inputs).plan();
    }

    void assignHome(const std::string& server, const std::string& host)
    {
        const BackendServerId id(server);
        catalogue->servers[id] = { .id = id };
        cell.homes[id] = { .home = HostId(host), .incarnation = "1", .since = 6 };
    }
};

TEST(CellPlanner, removesUnresponsiveMembersOnlyWhileAMajorityResponds)
{
    for (const char* host : { "b", "c", "d", "e" })
        recordResponse(host, startTime);
    recordResponse("b", now);
    LONGS_EQUAL(5, plan().members.size());
    recordResponse("c", now);
    const CellState next = plan();
    LONGS_EQUAL(4, next.members.size());
    LONGS_EQUAL(8, next.membersSince);
}

TEST(CellPlanner, makesNoChangeBeforeAMajorityHasTheLastOne)
{
    cell.membersSince = 6;
    for (const char* host : { "b", "c", "d" })
        recordResponse(host, now);
    heartbeats[HostId("f")] = { .heartbeat = { .sender = memberNamed("f") }, .receivedAt = now };
    LONGS_EQUAL(5, plan().members.size());
    cell.membersSince = 5;
    CHECK(plan().findMember(HostId("f")));
}

TEST(CellPlanner, recordsAnUnconfirmedHomeUntilItsProcessIsGone)
{
    for (const char* host : { "b", "c", "d" })
        recordResponse(host, now);
    assignHome("s", "e");
    cell = plan();
    const HomeAssignment& home = cell.homes.at(BackendServerId("s"));
    CHECK(home.home != HostId("e"));
    LONGS_EQUAL(8, home.since);
    CHECK(home.unconfirmedHome == HostId("e"));
    LONGS_EQUAL(1, cell.removed.size());
    contacts.recordGone({ HostId("e"), "1" });
    cell = plan();
    CHECK(cell.homes.at(BackendServerId("s")).unconfirmedHome.empty());
    LONGS_EQUAL(0, cell.removed.size());
}

TEST(CellPlanner, reassignsOnlyHomesOfMembersThatAreOutOfService)
{
    for (const char* host : { "b", "c", "d", "e" })
        recordResponse(host, now);
    assignHome("s", "b");
    assignHome("t", "c");
    catalogue->hosts[HostId("c")] = ServiceState::Out;
    const CellState next = plan();
    CHECK(next.homes.at(BackendServerId("s")) == cell.homes.at(BackendServerId("s")));
    CHECK(next.homes.at(BackendServerId("t")).home != HostId("c"));
    CHECK(next.findMember(HostId("c")));
}

TEST(CellPlanner, removesAnUnresponsiveHostThatIsOutOfService)
{
    for (const char* host : { "b", "c", "d", "e" })
        recordResponse(host, startTime);
    assignHome("s", "e");
    catalogue->hosts[HostId("e")] = ServiceState::Out;
    const CellState next = plan();
    CHECK(!next.findMember(HostId("e")));
    CHECK(next.homes.at(BackendServerId("s")).home != HostId("e"));
    CHECK(next.homes.at(BackendServerId("s")).unconfirmedHome.empty());
}
