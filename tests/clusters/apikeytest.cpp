#include "gatewaycluster.h"

#include "clustersupport.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>

using namespace Apricot;
namespace json = boost::json;

namespace {

// More hosts than those that read the store themselves, so that some know the configuration from their peers.
constexpr std::size_t hostCount = 12;
// Bound of the users' deployments on how long after its acknowledgement a version has to be in force.
constexpr Milliseconds applyTime { 2000 };
const std::string heldKey = "held";
const std::string unknownKey = "unknown";

// The cluster's configuration with a route that is not public, and a list of owners.
json::value configWithOwners(int version, const std::string& owners)
{
    json::value config = clusterConfigWithAddedRoute();
    json::object& object = config.as_object();
    object["version"] = version;
    object["routes"].as_array().back().as_object()["public"] = false;
    object["tenants"] = json::parse(owners);
    return config;
}

}

// Which requests the hosts of a fleet run when keys are taken away.
TEST_GROUP(ApiKey)
{
    GatewayCluster cluster { hostCount };

    void setup() override
    {
        cluster.addServers("plain", 2);
        cluster.waitUntilReady();
    }

    void applyConfig(int version, const std::string& owners)
    {
        cluster.writeObject("config/main", configWithOwners(version, owners));
        cluster.runFor(applyTime);
    }
    int statusOf(std::size_t host, const std::string& path, const std::string& content, const std::string& key = "")
    {
        ClusterRequest request { .path = path, .content = content };
        if (!key.empty())
            request.fields = { { "Authorization", "Bearer " + key } };
        return cluster.call(host, request).status;
    }
    // Checks that every host refuses all requests of the route that is not public, and serves public routes.
    void checkKeysAreRefused()
    {
        for (std::size_t host = 0; host < hostCount; ++host) {
            LONGS_EQUAL(401, statusOf(host, "/added/x", "refused", heldKey));
            LONGS_EQUAL(401, statusOf(host, "/added/x", "refused", unknownKey));
            LONGS_EQUAL(401, statusOf(host, "/added/x", "refused"));
            LONGS_EQUAL(200, statusOf(host, "/again/x", "public", unknownKey));
        }
        LONGS_EQUAL(0, cluster.runsOf("refused").size());
    }
};

// Guards against routes that open to all callers once the last owner is removed.
TEST(ApiKey, removingTheLastOwnerLeavesNoKeyValid)
{
    applyConfig(2, R"([{"name":"owner","apiKeys":["held"]}])");
    for (std::size_t host = 0; host < hostCount; ++host) {
        LONGS_EQUAL(200, statusOf(host, "/added/x", "allowed", heldKey));
        LONGS_EQUAL(401, statusOf(host, "/added/x", "unknown", unknownKey));
    }
    applyConfig(3, "[]");
    checkKeysAreRefused();
}

// Guards against an empty key in the list of an owner, which requests without a key would match.
TEST(ApiKey, removingTheLastKeyOfAnOwnerLeavesNoKeyValid)
{
    applyConfig(2, R"([{"name":"owner","apiKeys":["held"]}])");
    LONGS_EQUAL(200, statusOf(0, "/added/x", "allowed", heldKey));
    applyConfig(3, R"([{"name":"owner","apiKeys":[]}])");
    checkKeysAreRefused();
    applyConfig(4, R"([{"name":"owner","apiKeys":[""]}])");
    checkKeysAreRefused();
}
