#include "gatewaycluster.h"

#include "clustersupport.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

using namespace Apricot;
namespace json = boost::json;

namespace {

// Bounds of the users' platform for the last work that a leaving server gets, and for a configuration.
constexpr Milliseconds drainTime { 2000 };
constexpr Milliseconds configTime { 2000 };
constexpr Milliseconds step { 25 };
constexpr std::size_t hosts = 3;

std::string hexOf(const std::string& bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (const char character : bytes) {
        const auto byte = static_cast<unsigned char>(character);
        hex += { digits[byte >> 4U], digits[byte & 15U] };
    }
    return hex;
}

// A value that the store returns as these bytes.
json::value rawValue(const std::string& bytes)
{
    return json::object { { "raw_hex", hexOf(bytes) } };
}

// Values that cannot be decoded, and some that are no entry of a server.
std::vector<json::value> unreadableValues()
{
    constexpr std::size_t levels = 60;
    return { rawValue("\"\xff\xfe\""), rawValue(R"({"service":"\ud800"})"),
        rawValue(std::string(levels, '[') + std::string(levels, ']')), rawValue("1e99999"), rawValue("nul"),
        json::parse(R"({"service":[],"addr":7,"state":"asleep"})"), nullptr };
}

}

TEST_GROUP(UnreadableEntry)
{
    GatewayCluster cluster { hosts };

    void play(const std::string& path, const std::string& content, Milliseconds time)
    {
        const int steps = static_cast<int>(time / step);
        for (int index = 0; index < steps; ++index) {
            cluster.send(static_cast<std::size_t>(index) % hosts, path, content);
            cluster.runFor(step);
        }
        cluster.runFor(Milliseconds(200));
    }

    void writeUnreadable(const std::string& kind)
    {
        int number = 0;
        for (const json::value& value : unreadableValues())
            cluster.writeObject(kind + "/strange-" + std::to_string(number++), value);
    }
};

// Guards against work sent to a leaving server, because an entry of another writer hides the changes after it.
TEST(UnreadableEntry, ofServersDoesNotHideALeavingServer)
{
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    writeUnreadable("servers");
    const std::string leaving = cluster.reportServer("plain", 0, "draining", 2);
    cluster.runFor(drainTime);
    const TimePoint from = RuntimeClock::now();
    play("/again/x", "ordinary", Milliseconds(1500));
    LONGS_EQUAL(0, cluster.runsAt(leaving, from));
    CHECK_COMPARE(cluster.countResponses("ordinary", 200), >, 50);
}

// The same for a host that finds the entry in its first list.
TEST(UnreadableEntry, ofServersDoesNotKeepAHostFromStarting)
{
    cluster.addServers("plain", 2);
    writeUnreadable("servers");
    cluster.waitUntilReady();
    play("/again/x", "ordinary", Milliseconds(500));
    LONGS_EQUAL(20, cluster.countResponses("ordinary", 200));
}

// Guards against a configuration that is not in force in time, because the host waits for a kind of objects that it
// cannot read.
TEST(UnreadableEntry, doesNotDelayAConfiguration)
{
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    for (const char* kind : { "servers", "evacuations", "apricot-hosts", "apricot-poison", "config" })
        writeUnreadable(kind);
    cluster.runFor(Milliseconds(500));
    cluster.writeObject("config/main", clusterConfigWithAddedRoute());
    cluster.runFor(configTime);
    play("/added/x", "added", Milliseconds(500));
    LONGS_EQUAL(20, cluster.countResponses("added", 200));
}

// A configuration that cannot be read leaves the last one in force.
TEST(UnreadableEntry, ofTheConfigurationLeavesTheLastOneInForce)
{
    cluster.addServers("plain", 2);
    cluster.waitUntilReady();
    for (const json::value& value : unreadableValues())
        cluster.writeObject("config/main", value);
    cluster.runFor(configTime);
    play("/again/x", "ordinary", Milliseconds(500));
    LONGS_EQUAL(20, cluster.countResponses("ordinary", 200));
    cluster.writeObject("config/main", clusterConfigWithAddedRoute());
    cluster.runFor(configTime);
    play("/added/x", "added", Milliseconds(500));
    LONGS_EQUAL(20, cluster.countResponses("added", 200));
}
