#include "libapricot/evidence.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

const TimePoint start { std::chrono::hours(1) };

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

    KnownState known(ObjectVersion epoch, ObjectVersion configRevision) const
    {
        return { .self = HostId("a"),
            .incarnation = "1",
            .cell = cell,
            .epoch = epoch,
            .configRevision = configRevision };
    }

    void hear(const std::string& host, TimePoint askedAt, ObjectVersion epoch)
    {
        contacts.recordResponse({ HostId(host), "1" },
            { .incarnation = "1", .requestSentAt = askedAt, .epoch = epoch, .configRevision = 10 });
    }
};

TEST(Evidence, countsFromBeforeTheQuestionAndTheAge)
{
    lease.recordProof({ .version = 10, .age = Milliseconds(400) }, start);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == start + Milliseconds(2600));
    CHECK(lease.proof(start + Milliseconds(2599)).has_value());
    CHECK(!lease.proof(start + Milliseconds(2600)).has_value());
}

TEST(Evidence, lapsesWithAConfigurationThatIsNotKnownToBeTheNewest)
{
    lease.recordAcceptedWrite(10, start);
    lease.recordAcceptedWrite(12, start + Milliseconds(4000));
    CHECK(lease.permittedUntil(known(12, 12), contacts) == start + Milliseconds(7000));
    CHECK(lease.permittedUntil(known(12, 11), contacts) == start + Milliseconds(5000));
    CHECK(lease.permittedUntil(known(12, 9), contacts) == TimePoint {});
}

TEST(Evidence, isWorthNothingToAProcessThatIsNoMember)
{
    lease.recordAcceptedWrite(10, start);
    cell.members.front().incarnation = "2";
    CHECK(lease.permittedUntil(known(10, 10), contacts) == TimePoint {});
}

TEST(Evidence, ofMoreThanHalfLastsAsLongAsTheWeakestOfThem)
{
    hear("b", start, 10);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == TimePoint {});
    hear("c", start + Milliseconds(500), 9);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == start + Milliseconds(3000));
    hear("d", start + Milliseconds(700), 10);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == start + Milliseconds(3500));
    // Two that know more leave one beside this member.
    hear("b", start + Milliseconds(800), 11);
    hear("c", start + Milliseconds(800), 11);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == TimePoint {});
}

TEST(Evidence, ofACellOfOneIsThatThePlatformIsDown)
{
    cell.members.resize(1);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == TimePoint {});
    lease.recordPlatformFailure(start);
    CHECK(lease.permittedUntil(known(10, 10), contacts) == start + Milliseconds(3000));
}
