#include "gateway/storedeltajson.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace Apricot;
namespace json = boost::json;

TEST_GROUP(StoreDeltaJson)
{
    const StoreDelta delta { .revision = 8,
        .age = Milliseconds(40),
        .isSnapshot = true,
        .objects = { { "servers/s1", 7, 1 } },
        .removed = { "servers/s2" } };
};

TEST(StoreDeltaJson, readsWhatAPeerWrites)
{
    const PeerDeltas deltas = readPeerDeltas(json::serialize(
        json::object { { "servers/", toJson(delta, true, Milliseconds(0)) }, { "config/", toJson(delta, false, Milliseconds(0)) } }));
    CHECK(deltas.rejected.empty());
    const PeerDeltas::Entry& servers = deltas.entries.at("servers/");
    CHECK(servers.hasObjects && servers.delta.isSnapshot);
    CHECK(servers.delta.objects == delta.objects);
    CHECK(servers.delta.removed == delta.removed);
    CHECK(!deltas.entries.at("config/").hasObjects);
    CHECK(!servers.delta.isPartial);
    StoreDelta partial = delta;
    partial.isPartial = true;
    const PeerDeltas parts = readPeerDeltas(json::serialize(json::object { { "servers/", toJson(partial, true, Milliseconds(0)) } }));
    CHECK(parts.entries.at("servers/").delta.isPartial);
}

// Guards against a configuration that is not in force in time, because a peer's changes of another kind are malformed.
TEST(StoreDeltaJson, aMalformedKindDoesNotAffectTheOthers)
{
    for (const char* text : { "null", "[]", "{}", R"({"revision":-1,"age_ms":0})",
             R"({"revision":1,"age_ms":0,"objects":[{}],"whole":true,"removed":[]})",
             R"({"revision":1,"age_ms":0,"objects":[],"whole":true,"removed":[7]})" }) {
        const json::object response { { "servers/", json::parse(text) }, { "config/", toJson(delta, true, Milliseconds(0)) } };
        const PeerDeltas deltas = readPeerDeltas(json::serialize(response));
        LONGS_EQUAL(1, deltas.entries.size());
        LONGS_EQUAL(8, deltas.entries.at("config/").delta.revision);
        LONGS_EQUAL(1, deltas.rejected.count("servers/"));
    }
}
