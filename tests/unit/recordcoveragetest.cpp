#include "libapricot/recordcoverage.h"
#include "libapricot/rendezvous.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(RecordCoverage) {};

TEST(RecordCoverage, oneOfThreeHoldersIsNotComplete)
{
    std::vector<Member> members;
    std::vector<HostId> hosts;
    for (const char* name : { "a", "b", "c", "d" }) {
        hosts.emplace_back(name);
        members.push_back({ .host = hosts.back(), .incarnation = "1" });
    }
    const RequestKey key("key");
    const std::vector<HostId> rankedHosts = rankHosts(key.value(), hosts);
    const RecordHolder first { .host = rankedHosts[0], .incarnation = "1" };
    const RecordHolder third { .host = rankedHosts[2], .incarnation = "1" };
    const RecordHolder fourth { .host = rankedHosts[3], .incarnation = "1" };
    RecordCoverage coverage(Milliseconds(1000), Milliseconds(2000));
    TimePoint now { std::chrono::hours(1) };
    coverage.observe(members, now);
    CHECK_FALSE(coverage.isComplete(key, { first, third }, now));
    now += Milliseconds(1000);
    coverage.observe(members, now);
    CHECK_TRUE(coverage.isComplete(key, { first, third }, now));
    CHECK_FALSE(coverage.isComplete(key, { first }, now));
    CHECK_FALSE(coverage.isComplete(key, { first, fourth }, now));
    CHECK_FALSE(coverage.isComplete(key, { first, third }, now + Milliseconds(2001)));
}
