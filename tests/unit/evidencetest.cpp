#include "libapricot/evidence.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

const TimePoint startTime { std::chrono::hours(1) };

Member memberNamed(const std::string& host)
{
    return { .host = HostId(host), .incarnation = "1" };
}

}

TEST_GROUP(Evidence)
{
    CellState cell { .members = { memberNamed("a"), memberNamed("b"), memberNamed("c"),
                         memberNamed("d"), memberNamed("e") } };
    PeerContacts contacts;
    EvidenceLease lease;

    KnownState makeKnownState(ObjectVersion epoch, ObjectVersion configRevision) const
    {
        return { .self = HostId("a"),
            .incarnation = "1",
            .cell = cell,
            .epoch = epoch,
            .configRevision = configRevision };
    }

    void recordResponse(const std::string& host, TimePoint askedAt, ObjectVersion epoch)
    {
        contacts.recordResponse({ HostId(host), "1" },
            { .incarnation = "1", .requestSentAt = askedAt, .epoch = epoch, .configRevision = 10 });
    }
};

TEST(Evidence, countsFromTheRequestTimeLessTheAge)
{
    lease.recordProof({ .version = 10, .age = Milliseconds(400) }, startTime);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == startTime + Milliseconds(2600));
    CHECK(lease.proof(startTime + Milliseconds(2599)).has_value());
    CHECK(!lease.proof(startTime + Milliseconds(2600)).has_value());
}

TEST(Evidence, expiresWithAConfigurationThatIsNotKnownToBeTheNewest)
{
    lease.recordAcceptedWrite(10, startTime);
    lease.recordAcceptedWrite(12, startTime + Milliseconds(4000));
    CHECK(lease.permittedUntil(makeKnownState(12, 12), contacts) == startTime + Milliseconds(7000));
    CHECK(lease.permittedUntil(makeKnownState(12, 11), contacts) == startTime + Milliseconds(5000));
    CHECK(lease.permittedUntil(makeKnownState(12, 9), contacts) == TimePoint {});
}

TEST(Evidence, givesNoPermissionToANonMember)
{
    lease.recordAcceptedWrite(10, startTime);
    cell.members.front().incarnation = "2";
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == TimePoint {});
}

TEST(Evidence, ofAMajorityExpiresWithItsOldestResponse)
{
    recordResponse("b", startTime, 10);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == TimePoint {});
    recordResponse("c", startTime + Milliseconds(500), 9);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == startTime + Milliseconds(3000));
    recordResponse("d", startTime + Milliseconds(700), 10);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == startTime + Milliseconds(3500));
    // Members with a newer epoch do not count, so only "d" is left beside this member.
    recordResponse("b", startTime + Milliseconds(800), 11);
    recordResponse("c", startTime + Milliseconds(800), 11);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == TimePoint {});
}

TEST(Evidence, ofASingleMemberCellIsAPlatformFailure)
{
    cell.members.resize(1);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == TimePoint {});
    lease.recordPlatformFailure(startTime);
    CHECK(lease.permittedUntil(makeKnownState(10, 10), contacts) == startTime + Milliseconds(3000));
}
