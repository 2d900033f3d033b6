#include "libserving/serverdirectory.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ServerDirectory)
{
    ServerDirectory directory;
    TimePoint now {};
    const PoolId pool { "engines" };

    ServerEntry makeEntry(const char* id, const char* domain = "a") const
    {
        return { .id = BackendServerId(id),
            .pool = pool,
            .endpoint = { "10.0.0.1", 80 },
            .domain = FailureDomainId(domain) };
    }
    std::size_t usableCount() { return directory.usable(pool, now).size(); }
    void setOutOfService(std::set<FailureDomainId> domains)
    {
        directory.setOutOfServiceDomains(
            std::move(domains), [](const PoolId&) { return Milliseconds(3000); }, now);
    }
};

TEST(ServerDirectory, drainingAndRemovedServersAreNotUsable)
{
    directory.replaceAll({ makeEntry("s1"), makeEntry("s2"), makeEntry("s3") }, now);
    ServerEntry draining = makeEntry("s1");
    draining.isDraining = true;
    directory.put(draining, now);
    directory.remove(BackendServerId("s2"), now);
    LONGS_EQUAL(1, usableCount());
    CHECK(directory.findUsable(BackendServerId("s1"), now) == nullptr);
}

// Guards against a pass over all that is known of all servers for each report of one.
TEST(ServerDirectory, tellsWhenAServerIsRemovedOrGetsAnotherAddress)
{
    directory.replaceAll({ makeEntry("s1"), makeEntry("s2") }, now);
    LONGS_EQUAL(0, directory.removals());
    ServerEntry changed = makeEntry("s1");
    changed.startedAt = 7;
    changed.isDraining = true;
    directory.put(changed, now);
    LONGS_EQUAL(0, directory.removals());
    changed.endpoint.port = 81;
    directory.put(changed, now);
    LONGS_EQUAL(1, directory.removals());
    directory.remove(BackendServerId("s2"), now);
    LONGS_EQUAL(2, directory.removals());
    directory.remove(BackendServerId("s2"), now);
    LONGS_EQUAL(2, directory.removals());
}

TEST(ServerDirectory, retainsEntriesThatExpireDuringAStoreOutageForAGracePeriod)
{
    directory.replaceAll({ makeEntry("s1"), makeEntry("s2") }, now);
    directory.onStoreLost(now);
    directory.remove(BackendServerId("s1"), now);
    now += Milliseconds(60'000);
    LONGS_EQUAL(2, usableCount());
    directory.onStoreRegained(now);
    directory.replaceAll({}, now);
    now += Milliseconds(1900);
    LONGS_EQUAL(2, usableCount());
    directory.put(makeEntry("s1"), now);
    now += Milliseconds(200);
    LONGS_EQUAL(1, usableCount());
    CHECK(directory.findUsable(BackendServerId("s1"), now) != nullptr);
}

// Guards against sending to servers that have left: a host that was cut off from the store learned of their
// removal from peers, and kept them until two seconds after it reached the store itself.
TEST(ServerDirectory, removesEntriesAtOnceWhileTheStoreRespondsToPeers)
{
    directory.put(makeEntry("s1"), now);
    now += Milliseconds(1000);
    directory.onStoreLost(now);
    now += Milliseconds(100);
    directory.recordPeerEvidence(now - Milliseconds(50), now);
    now += Milliseconds(2100);
    directory.recordPeerEvidence(now - Milliseconds(200), now);
    directory.remove(BackendServerId("s1"), now);
    LONGS_EQUAL(0, usableCount());
    directory.onStoreRegained(now);
    LONGS_EQUAL(0, usableCount());
}

// Peers that have lost the store too, or reach it again after an outage, are no reason to remove entries at once.
TEST(ServerDirectory, retainsEntriesThatExpireWhileTheStoreRespondsToNobody)
{
    directory.put(makeEntry("s1"), now);
    now += Milliseconds(1000);
    directory.onStoreLost(now);
    directory.recordPeerEvidence(now - Milliseconds(500), now);
    directory.remove(BackendServerId("s1"), now);
    LONGS_EQUAL(1, usableCount());
    now += Milliseconds(10'000);
    directory.recordPeerEvidence(now - Milliseconds(100), now);
    LONGS_EQUAL(1, usableCount());
    now += Milliseconds(1999);
    directory.recordPeerEvidence(now - Milliseconds(100), now);
    LONGS_EQUAL(1, usableCount());
    now += Milliseconds(2);
    LONGS_EQUAL(0, usableCount());
}

TEST(ServerDirectory, removesADrainingServerThatExpiresDuringAStoreOutage)
{
    ServerEntry draining = makeEntry("s1");
    draining.isDraining = true;
    directory.put(draining, now);
    directory.onStoreLost(now);
    directory.remove(BackendServerId("s1"), now);
    LONGS_EQUAL(0, directory.size());
}

TEST(ServerDirectory, anOutOfServiceDomainIsNotUsableAndIsColdOnItsReturn)
{
    directory.replaceAll({ makeEntry("s1", "a"), makeEntry("s2", "b") }, now);
    setOutOfService({ FailureDomainId("a") });
    LONGS_EQUAL(1, usableCount());
    setOutOfService({});
    CHECK(directory.findUsable(BackendServerId("s1"), now)->isCold(now + Milliseconds(3000)));
    CHECK(!directory.findUsable(BackendServerId("s2"), now)->isCold(now));
}

TEST(ServerDirectory, aServerIsColdForTheTimeInItsEntry)
{
    ServerEntry cold = makeEntry("s1");
    cold.coldTimeLeft = Milliseconds(2500);
    directory.put(cold, now);
    CHECK(directory.findUsable(cold.id, now)->isCold(now + Milliseconds(2400)));
    CHECK(!directory.findUsable(cold.id, now)->isCold(now + Milliseconds(2600)));
}

TEST(ServerDirectory, aServerThatChangesItsSoftwareVersionUnderItsIdHasStartedAgain)
{
    ServerEntry server = makeEntry("s1");
    server.softwareVersion = SoftwareVersion("v1");
    directory.put(server, TimePoint(Milliseconds(1000)));
    server.softwareVersion = SoftwareVersion("v2");
    directory.put(server, TimePoint(Milliseconds(5000)));
    CHECK(directory.all().at(server.id).firstSeenAt == TimePoint(Milliseconds(5000)));
}

TEST(ServerDirectory, anOlderCopyOfTheStoreDoesNotBringBackServersThatLeft)
{
    ServerEntry ready = makeEntry("s1");
    ready.startedAt = 100;
    ready.sequence = 5;
    ServerEntry gone = ready;
    gone.id = BackendServerId("s2");
    directory.replaceAll({ ready, gone }, now);
    ServerEntry draining = ready;
    draining.isDraining = true;
    draining.sequence = 6;
    directory.put(draining, now);
    directory.remove(gone.id, now);
    directory.onStoreRestored(now);
    LONGS_EQUAL(2, directory.replaceAll({ ready, gone }, now).size());
    LONGS_EQUAL(0, usableCount());
    now += Milliseconds(4999);
    LONGS_EQUAL(0, usableCount());
    // A silent server would have been removed by now; one that drains has no way back without a new report.
    now += Milliseconds(2);
    LONGS_EQUAL(1, usableCount());
    CHECK(directory.findUsable(gone.id, now) != nullptr);
}

TEST(ServerDirectory, newReportsAndStartsAfterAnOlderCopyAreApplied)
{
    ServerEntry removed = makeEntry("s1");
    removed.startedAt = 100;
    removed.sequence = 5;
    ServerEntry draining = removed;
    draining.id = BackendServerId("s2");
    draining.isDraining = true;
    directory.replaceAll({ removed, draining }, now);
    directory.remove(removed.id, now);
    directory.onStoreRestored(now);
    directory.replaceAll({ draining }, now);
    removed.sequence = 6;
    CHECK(directory.put(removed, now));
    draining.isDraining = false;
    draining.startedAt = 101;
    draining.sequence = 1;
    CHECK(directory.put(draining, now));
    LONGS_EQUAL(2, usableCount());
}

// Guards against a withheld entry that is applied although the store has removed it meanwhile.
TEST(ServerDirectory, anEntryThatIsRemovedWhileItIsWithheldStaysRemoved)
{
    ServerEntry server = makeEntry("s1");
    server.sequence = 5;
    directory.put(server, now);
    directory.remove(server.id, now);
    directory.onStoreRestored(now);
    directory.replaceAll({ server }, now);
    directory.remove(server.id, now);
    now += Milliseconds(5001);
    LONGS_EQUAL(0, usableCount());
}

TEST(ServerDirectory, anOlderReportOfADrainingServerIsIgnored)
{
    ServerEntry server = makeEntry("s1");
    server.isDraining = true;
    server.sequence = 7;
    directory.put(server, now);
    server.isDraining = false;
    server.sequence = 6;
    CHECK(!directory.put(server, now));
    server.sequence = 8;
    CHECK(directory.put(server, now));
    LONGS_EQUAL(1, usableCount());
}
