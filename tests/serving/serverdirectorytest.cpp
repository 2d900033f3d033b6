#include "libserving/serverdirectory.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ServerDirectory)
{
    ServerDirectory directory;
    TimePoint now {};
    const PoolId pool { "engines" };

    ServerEntry entry(const char* id, const char* domain = "a") const
    {
        return { .id = BackendServerId(id),
            .pool = pool,
            .endpoint = { "10.0.0.1", 80 },
            .domain = FailureDomainId(domain) };
    }
    std::size_t usable() { return directory.usable(pool, now).size(); }
    void takeOut(std::set<FailureDomainId> domains)
    {
        directory.setOutOfServiceDomains(
            std::move(domains), [](const PoolId&) { return Milliseconds(3000); }, now);
    }
};

TEST(ServerDirectory, givesNothingToServersThatDrainOrLeft)
{
    directory.replaceAll({ entry("s1"), entry("s2"), entry("s3") }, now);
    ServerEntry draining = entry("s1");
    draining.isDraining = true;
    directory.put(draining, now);
    directory.remove(BackendServerId("s2"), now);
    LONGS_EQUAL(1, usable());
    CHECK(directory.findUsable(BackendServerId("s1"), now) == nullptr);
}

TEST(ServerDirectory, keepsEntriesThatLapsedInAnOutageUntilTheyMayHaveReturned)
{
    directory.replaceAll({ entry("s1"), entry("s2") }, now);
    directory.onStoreLost();
    directory.remove(BackendServerId("s1"), now);
    now += Milliseconds(60'000);
    LONGS_EQUAL(2, usable());
    directory.onStoreRegained(now);
    directory.replaceAll({}, now);
    now += Milliseconds(1900);
    LONGS_EQUAL(2, usable());
    directory.put(entry("s1"), now);
    now += Milliseconds(200);
    LONGS_EQUAL(1, usable());
    CHECK(directory.findUsable(BackendServerId("s1"), now) != nullptr);
}

TEST(ServerDirectory, dropsADrainingServerThatLapsesInAnOutage)
{
    ServerEntry draining = entry("s1");
    draining.isDraining = true;
    directory.put(draining, now);
    directory.onStoreLost();
    directory.remove(BackendServerId("s1"), now);
    LONGS_EQUAL(0, directory.size());
}

TEST(ServerDirectory, givesNothingToADomainThatIsOutAndTreatsItAsColdAfterwards)
{
    directory.replaceAll({ entry("s1", "a"), entry("s2", "b") }, now);
    takeOut({ FailureDomainId("a") });
    LONGS_EQUAL(1, usable());
    takeOut({});
    CHECK(directory.findUsable(BackendServerId("s1"), now)->isCold(now + Milliseconds(3000)));
    CHECK(!directory.findUsable(BackendServerId("s2"), now)->isCold(now));
}

TEST(ServerDirectory, takesAServerForColdAsLongAsItsEntrySays)
{
    ServerEntry cold = entry("s1");
    cold.coldLeft = Milliseconds(2500);
    directory.put(cold, now);
    CHECK(directory.findUsable(cold.id, now)->isCold(now + Milliseconds(2400)));
    CHECK(!directory.findUsable(cold.id, now)->isCold(now + Milliseconds(2600)));
}
