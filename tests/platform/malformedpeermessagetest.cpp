#include "gatewaycluster.h"

#include "gateway/limitpermits.h"
#include "gateway/peerviewsync.h"
#include "gateway/streamoriginsync.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(MalformedPeerMessage)
{
    GatewayCluster cluster { 2 };
};

// Guards against a process that ends, or stops serving, because one message of a peer cannot be read.
TEST(MalformedPeerMessage, affectsNoOtherMessageAndNoRequest)
{
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    for (const char* topic : { PeerViewSync::topic, StreamOriginSync::noticeTopic, StreamOriginSync::questionTopic,
             LimitPermits::permitTopic, LimitPermits::noticeTopic, "unknown" }) {
        for (const char* text : { "", "null", "[]", "{}", "{\"servers/\":7}", "\xff", R"({"server":7})",
                 R"({"server":"server-1","started_at":1,"limit":1e999,"age_ms":0})",
                 R"({"server":"server-1","started_at":1,"limit":1,"age_ms":1e300})" })
            cluster.sendToPeer(0, TextMessage { topic, text });
    }
    cluster.runFor(Milliseconds(200));
    for (int request = 0; request < 20; ++request)
        LONGS_EQUAL(200, cluster.call(0, { .path = "/again/x", .content = "ordinary" }).status);
}
