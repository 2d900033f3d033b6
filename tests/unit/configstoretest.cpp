#include "libapricot/configstore.h"
#include "emulator/platform/objectstore.h"
#include "libapricot/cataloguejson.h"

#include "property.h"

#include <boost/json/serialize.hpp>

#include <random>

using namespace Apricot;

namespace {

const std::string prefix = "hosts/";

std::string textOf(const boost::json::value& value) { return boost::json::serialize(value); }

ConfigDelta listDelta(const ObjectStore& store, ObjectVersion revision)
{
    ConfigDelta delta { .prefix = prefix, .isSnapshot = true, .revision = revision };
    for (const StoreObject& object : store.list(prefix, revision).objects)
        delta.objects.push_back({ object.key, object.version, textOf(object.value) });
    return delta;
}

ConfigDelta watchDelta(const ObjectStore& store, ObjectVersion since, ObjectVersion revision)
{
    ConfigDelta delta { .prefix = prefix, .since = since, .revision = revision };
    for (const StoreEvent& event : store.eventsSince(prefix, since, revision).events)
        delta.objects.push_back(
            { event.key, event.version, event.value ? textOf(*event.value) : std::string() });
    return delta;
}

void changeAtRandom(ObjectStore& store, std::mt19937_64& random)
{
    const std::string key = prefix + std::to_string(random() % 4);
    if (random() % 3 == 0)
        store.remove(key);
    else
        store.put(key, toJson(random() % 2 == 0 ? ServiceState::In : ServiceState::Out));
}

// A delta that a reader can receive: a list at an old revision, a late watch response with its events
// in any order, or a delta from a peer.
ConfigDelta randomDelta(const ObjectStore& store, const ConfigStore& peer, std::mt19937_64& random)
{
    const ObjectVersion revision = random() % (store.revision() + 1);
    if (random() % 3 == 0)
        return listDelta(store, revision);
    if (random() % 2 == 0)
        return peer.deltaSince(prefix, random() % (store.revision() + 1));
    ConfigDelta watched = watchDelta(store, random() % (revision + 1), revision);
    std::shuffle(watched.objects.begin(), watched.objects.end(), random);
    return watched;
}

std::map<HostId, ServiceState> hostStatesAt(const ObjectStore& store, ObjectVersion revision)
{
    std::map<HostId, ServiceState> states;
    for (const StoreObject& object : store.list(prefix, revision).objects)
        states.emplace(object.key.substr(prefix.size()), parseServiceState(object.value));
    return states;
}

}

TEST_GROUP(ConfigStore) {};

TEST(ConfigStore, neverRevertsForAnyOrderOfDeltas)
{
    checkProperty("revisions never decrease, and the state is never older than the revision",
        [](std::uint64_t seed) {
            std::mt19937_64 random(seed);
            ObjectStore platform;
            std::vector<ConfigStore> readers(2);
            for (int step = 0; step < 60; ++step) {
                if (random() % 2 == 0)
                    changeAtRandom(platform, random);
                const std::size_t readerIndex = random() % 2;
                ConfigStore& reader = readers[readerIndex];
                const ObjectVersion revision = reader.revision(prefix);
                const ObjectVersion version = reader.catalogue()->version;
                reader.apply(randomDelta(platform, readers[1 - readerIndex], random));
                RC_ASSERT(reader.revision(prefix) >= revision);
                RC_ASSERT(reader.catalogue()->version >= version);
                bool matchesPlatformRevision = false;
                for (ObjectVersion candidate = reader.revision(prefix); candidate <= platform.revision(); ++candidate)
                    matchesPlatformRevision = matchesPlatformRevision || hostStatesAt(platform, candidate) == reader.catalogue()->hosts;
                RC_ASSERT(matchesPlatformRevision);
            }
            readers.front().apply(listDelta(platform, platform.revision()));
            RC_ASSERT(
                readers.front().catalogue()->hosts == hostStatesAt(platform, platform.revision()));
        });
}

TEST(ConfigStore, retainsTheLastValidValueAndReportsAnInvalidOne)
{
    ConfigStore store;
    store.apply({ .prefix = prefix,
        .isSnapshot = true,
        .revision = 3,
        .objects = { { "hosts/a", 3, textOf(toJson(ServiceState::Out)) } } });
    store.apply({ .prefix = prefix,
        .since = 3,
        .revision = 4,
        .objects = { { "hosts/a", 4, R"({"state":"sideways"})" } } });
    CHECK(store.catalogue()->isOutOfService(HostId("a")));
    LONGS_EQUAL(4, store.invalidObjects().at("hosts/a").version);
    store.apply({ .prefix = prefix, .since = 4, .revision = 5, .objects = { { "hosts/a", 5, "" } } });
    CHECK(!store.catalogue()->isOutOfService(HostId("a")));
    LONGS_EQUAL(0, store.invalidObjects().size());
}
