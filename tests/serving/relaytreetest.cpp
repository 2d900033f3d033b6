#include "libserving/relaytree.h"

#include "unit/property.h"

#include <algorithm>
#include <map>

using namespace Apricot;

namespace {

// Counts the steps over the first parents.
int stepsToWatcher(const HostId& host, const std::vector<HostId>& hosts)
{
    const RelayPosition position = findRelayPosition(host, hosts);
    return position.isDirect ? 0 : 1 + stepsToWatcher(position.parents.front(), hosts);
}

}

TEST_GROUP(RelayTree) {};

TEST(RelayTree, everyHostReachesAWatcherInFewStepsAndNoHostHasManyChildren)
{
    checkProperty("depth and fan-out of the tree", [] {
        const int count = *rc::gen::inRange(11, 2300);
        std::vector<HostId> hosts;
        hosts.reserve(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index)
            hosts.emplace_back("edge-" + std::to_string(index));
        // Checks about 200 of the hosts to limit the run time of each case.
        std::map<HostId, int> children;
        for (int index = 0; index < count; index += 1 + count / 200) {
            HostId host = hosts[static_cast<std::size_t>(index)];
            RelayPosition position = findRelayPosition(host, hosts);
            for (const HostId& parent : position.parents)
                ++children[parent];
            RC_ASSERT(position.depth == stepsToWatcher(host, hosts));
            int depth = 0;
            while (!position.isDirect) {
                RC_ASSERT(++depth <= 4);
                position = findRelayPosition(position.parents.back(), hosts);
            }
        }
        for (const auto& [host, childCount] : children)
            RC_ASSERT(childCount <= 2 * 8);
    });
}

TEST(RelayTree, twoHostsWatchTheStoreInALargeFleetAndEachHostDoesInASmallOne)
{
    std::vector<HostId> hosts;
    hosts.reserve(77);
    for (int index = 0; index < 77; ++index)
        hosts.emplace_back("edge-" + std::to_string(index));
    const auto watchers = std::count_if(hosts.begin(), hosts.end(),
        [&](const HostId& host) { return findRelayPosition(host, hosts).isWatcher; });
    LONGS_EQUAL(2, watchers);
    hosts.resize(10);
    for (const HostId& host : hosts)
        CHECK(findRelayPosition(host, hosts).isDirect);
}

TEST(RelayTree, anUnlistedHostReadsTheStoreDirectly)
{
    const std::vector<HostId> hosts(20, HostId("edge-1"));
    CHECK(findRelayPosition(HostId("new"), hosts).isDirect);
}
