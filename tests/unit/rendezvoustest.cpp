#include "property.h"

#include "libapricot/rendezvous.h"

#include <algorithm>

using namespace Apricot;

TEST_GROUP(Rendezvous) {};

TEST(Rendezvous, removalMovesKeysToTheSecondHost)
{
    checkProperty("the keys of a removed host move to the second in rank", [](const std::string& key) {
        std::vector<HostId> hosts;
        hosts.reserve(8);
        for (int index = 0; index < 8; ++index)
            hosts.emplace_back("host-" + std::to_string(index));
        const std::vector<HostId> before = rankHosts(key, hosts);
        hosts.erase(std::find(hosts.begin(), hosts.end(), before.front()));
        RC_ASSERT(rankHosts(key, hosts).front() == before.at(1));
    });
}
