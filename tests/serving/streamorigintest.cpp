#include "libserving/poolversions.h"
#include "libserving/streamholders.h"
#include "libserving/streamoriginjson.h"
#include "libserving/streamorigintable.h"

#include "unit/property.h"

using namespace Apricot;

namespace {

const PoolId pool("engines");
const SoftwareVersion v1("v1");
const SoftwareVersion v2("v2");

}

TEST_GROUP(StreamOrigin) {
    static OriginKnowledge recorded(const SoftwareVersion& version) {
        return { .recorded = StreamOrigin { pool, version } };
}
static OriginKnowledge sole(const SoftwareVersion& version) { return { .soleVersion = version }; }
}
;

TEST(StreamOrigin, aRecordIsCertainWhateverElseIsKnown)
{
    const std::optional<StreamOrigin> origin = findOrigin(pool, { .hasSeveralVersions = true },
        { recorded(v1), { .hasSeveralVersions = true } }, true);
    CHECK(origin == std::optional(StreamOrigin { pool, v1 }));
}

TEST(StreamOrigin, recordsThatDifferOrHaveNoVersionAreNotCertain)
{
    CHECK(!findOrigin(pool, recorded(v1), { recorded(v2) }, true));
    CHECK(!findOrigin(pool, recorded(SoftwareVersion()), { sole(v1) }, true));
}

TEST(StreamOrigin, theOnlyVersionIsCertainIfAnotherHostHasNoRecord)
{
    CHECK(findOrigin(pool, sole(v1), { {} }, true) == std::optional(StreamOrigin { pool, v1 }));
    CHECK(findOrigin(pool, {}, { sole(v1) }, true) == std::optional(StreamOrigin { pool, v1 }));
    CHECK(findOrigin(pool, sole(v1), {}, false) == std::optional(StreamOrigin { pool, v1 }));
}

// A host that is cut off from the others can't know at which version they began streams.
TEST(StreamOrigin, theOnlyVersionIsNotCertainWhileNoOtherHostResponds)
{
    CHECK(!findOrigin(pool, sole(v1), {}, true));
}

TEST(StreamOrigin, theOnlyVersionIsNotCertainIfAnyHostHasSeenAnother)
{
    CHECK(!findOrigin(pool, sole(v1), { { .hasSeveralVersions = true } }, true));
    CHECK(!findOrigin(pool, { .hasSeveralVersions = true }, { sole(v1) }, true));
    CHECK(!findOrigin(pool, sole(v1), { sole(v2) }, true));
    CHECK(!findOrigin(pool, {}, { {} }, true));
}

TEST(StreamOrigin, messagesAreReadAsTheyWereWritten)
{
    checkProperty("messages survive JSON", [] {
        const auto id = *rc::gen::container<std::string>(rc::gen::inRange('!', '~'));
        const StreamKey key { OwnerId("owner"), id };
        const StreamNotice notice { key, { pool, v1 }, Milliseconds(7) };
        RC_ASSERT(readStreamNotice(toJson(notice)) == notice);
        const OriginQuestion question { key, pool, Milliseconds(9) };
        RC_ASSERT(readOriginQuestion(toJson(question)) == question);
    });
    for (const OriginKnowledge& knowledge :
        { recorded(v1), sole(v2), OriginKnowledge { .hasSeveralVersions = true } })
        CHECK(readOriginKnowledge(toJson(knowledge)) == knowledge);
    CHECK_THROWS(std::exception, readOriginKnowledge("{}"));
    CHECK_THROWS(std::exception, readStreamNotice("[]"));
}

TEST(StreamOrigin, onlyShortPrintableIdsAreRecorded)
{
    CHECK_TRUE(isRecordableRequestId("9c41d07be2a35f68"));
    for (const std::string& id : { std::string(), std::string(129, 'x'), std::string("a\nb"),
             std::string("a b"), std::string("\xff\xfe") })
        CHECK_FALSE(isRecordableRequestId(id));
}

TEST_GROUP(StreamOriginTable)
{
    StreamOriginTable table { 3 };
    TimePoint now {};
    const OwnerId owner { "owner" };

    void put(const char* id, const SoftwareVersion& version, int lifetimeMs)
    {
        table.put({ owner, id }, { pool, version }, now + Milliseconds(lifetimeMs), now);
    }
    std::optional<StreamOrigin> find(const char* id) const { return table.find({ owner, id }, now); }
};

TEST(StreamOriginTable, anotherOwnerDoesNotFindAStream)
{
    put("r1", v1, 1000);
    CHECK(find("r1").has_value());
    CHECK(!table.find({ OwnerId("another"), "r1" }, now));
}

TEST(StreamOriginTable, aStreamThatBeganAtTwoVersionsHasNoCertainOne)
{
    put("r1", v1, 1000);
    put("r1", v2, 1000);
    CHECK(find("r1")->version.empty());
    put("r1", v2, 1000);
    CHECK(find("r1")->version.empty());
}

TEST(StreamOriginTable, aResumptionProlongsTheEntry)
{
    put("r1", v1, 1000);
    now += Milliseconds(900);
    put("r1", v1, 1000);
    now += Milliseconds(900);
    CHECK(find("r1").has_value());
    now += Milliseconds(200);
    CHECK(!find("r1"));
}

TEST(StreamOriginTable, isBounded)
{
    checkProperty("the table keeps what expires last", [](const std::vector<unsigned>& lifetimes) {
        StreamOriginTable bounded(3);
        TimePoint time {};
        for (std::size_t index = 0; index < lifetimes.size(); ++index) {
            const auto lifetime = Milliseconds(1 + lifetimes[index] % 1000);
            bounded.put({ OwnerId("o"), std::to_string(index) }, { pool, v1 }, time + lifetime, time);
            RC_ASSERT(bounded.size() <= 3U);
            RC_ASSERT(bounded.find({ OwnerId("o"), std::to_string(index) }, time).has_value());
            time += Milliseconds(100);
        }
    });
}

TEST_GROUP(PoolVersions)
{
    PoolVersions versions;
    TimePoint now {};
    const Milliseconds window { 12'000 };

    // Confirms the list of servers every two seconds.
    void pass(Milliseconds time)
    {
        for (const TimePoint end = now + time; now < end; now += Milliseconds(2000))
            versions.confirm(now);
    }
    std::optional<SoftwareVersion> sole() const
    {
        const SeenVersions seen = versions.seenWithin(pool, window, now);
        return seen.isComplete && seen.versions.size() == 1 ? std::optional(*seen.versions.begin())
                                                            : std::nullopt;
    }
};

TEST(PoolVersions, aSingleVersionIsCertainOnceItHasServedForTheWholeTime)
{
    versions.onServerAdded(pool, v1);
    pass(Milliseconds(9000));
    CHECK(!sole());
    pass(Milliseconds(2000));
    CHECK(sole() == std::optional(v1));
}

TEST(PoolVersions, aVersionCountsForTheWholeTimeAfterItsLastServer)
{
    versions.onServerAdded(pool, v1);
    versions.onServerAdded(pool, v2);
    pass(Milliseconds(20'000));
    CHECK(!sole());
    versions.onServerRemoved(pool, v1, now);
    pass(Milliseconds(12'000));
    CHECK(!sole());
    pass(Milliseconds(2000));
    CHECK(sole() == std::optional(v2));
}

// While the list is not confirmed, servers of another version may come and go.
TEST(PoolVersions, nothingIsCertainWithoutAFreshListNorAfterAGap)
{
    versions.onServerAdded(pool, v1);
    pass(Milliseconds(20'000));
    now += Milliseconds(4000);
    CHECK(!sole());
    now += Milliseconds(2000);
    pass(Milliseconds(10'000));
    CHECK(!sole());
    pass(Milliseconds(4000));
    CHECK(sole() == std::optional(v1));
}

TEST_GROUP(StreamHolders) {
    static std::map<HostId, PeerHost> makeHosts(int count) {
        std::map<HostId, PeerHost> hosts;
for (int index = 0; index < count; ++index)
    hosts[HostId("host-" + std::to_string(index))]
        = { {}, FailureDomainId("zone-" + std::to_string(index % 3)) };
return hosts;
}
}
;

TEST(StreamHolders, areInTwoFailureDomainsAndSpreadOverAllHosts)
{
    const auto hosts = makeHosts(8);
    std::map<HostId, int> streams;
    for (int index = 0; index < 1000; ++index) {
        const auto holders = rankStreamHolders("r" + std::to_string(index), hosts);
        LONGS_EQUAL(hosts.size(), holders.size());
        CHECK(hosts.at(holders[0]).domain != hosts.at(holders[1]).domain);
        ++streams[holders[0]];
        ++streams[holders[1]];
    }
    for (const auto& [host, count] : streams)
        CHECK_COMPARE(count, <, 2 * 2 * 1000 / 8);
}

TEST(StreamHolders, aHostThatLeavesMovesOnlyItsOwnStreams)
{
    const auto hosts = makeHosts(9);
    auto others = hosts;
    others.erase(HostId("host-4"));
    for (int index = 0; index < 500; ++index) {
        const std::string id = "r" + std::to_string(index);
        const auto before = rankStreamHolders(id, hosts);
        const auto after = rankStreamHolders(id, others);
        if (before[0] != HostId("host-4"))
            CHECK(before[0] == after[0]);
    }
}
