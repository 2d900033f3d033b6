#include "libserving/engineplacement.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace Apricot;

TEST_GROUP(EnginePlacement)
{
    EnginePlacement placement;
    ServerTracker tracker;
    TimePoint now {};
    std::vector<KnownServer> servers;

    void setup() override
    {
        for (int index = 0; index < 9; ++index) {
            ServerEntry entry { .id = BackendServerId("e" + std::to_string(index)) };
            entry.domain = FailureDomainId(std::string(1, static_cast<char>('a' + index % 3)));
            servers.push_back({ .server = entry });
        }
    }
    std::vector<const KnownServer*> engines() const
    {
        std::vector<const KnownServer*> pointers;
        for (const KnownServer& server : servers)
            pointers.push_back(&server);
        return pointers;
    }
    static CallerRequest makeSessionRequest(int number, const char* id)
    {
        return { .id = id,
            .promptTokens = 9000,
            .promptParts = { { "common", 2500 }, { "session-" + std::to_string(number), 3800 },
                { id, 2700 } } };
    }
    BackendServerId firstChoice(const CallerRequest& request,
        const std::map<FailureDomainId, double>& inputs = {}) const
    {
        return placement.rank(request, engines(), inputs, tracker, now).front()->server.id;
    }
};

TEST(EnginePlacement, hostsChooseTheSameEngineForASessionWithoutCommunicating)
{
    const EnginePlacement otherHost;
    for (int number = 0; number < 20; ++number) {
        const BackendServerId local = firstChoice(makeSessionRequest(number, "r1"));
        const BackendServerId remote
            = otherHost.rank(makeSessionRequest(number, "r2"), engines(), {}, tracker, now)
                  .front()
                  ->server.id;
        CHECK(local == remote);
    }
}

TEST(EnginePlacement, sessionsAreDistributedOverAllEngines)
{
    std::set<BackendServerId> usedEngines;
    for (int number = 0; number < 100; ++number)
        usedEngines.insert(firstChoice(makeSessionRequest(number, "r")));
    LONGS_EQUAL(servers.size(), usedEngines.size());
}

TEST(EnginePlacement, aSessionMovesToAnotherEngineWhenItsOwnIsBusy)
{
    const BackendServerId usualEngine = firstChoice(makeSessionRequest(1, "r0"));
    for (int index = 0; index < 5; ++index)
        placement.onSent(makeSessionRequest(1, "r0"), usualEngine, 300'000);
    CHECK(firstChoice(makeSessionRequest(1, "r1")) != usualEngine);
}

TEST(EnginePlacement, aRequestWithLargeInputsRunsInTheirDomain)
{
    const CallerRequest request = makeSessionRequest(2, "r");
    const FailureDomainId domain("c");
    const BackendServerId chosen = firstChoice(request, { { domain, 40e6 } });
    for (const KnownServer& server : servers) {
        if (server.server.id == chosen)
            CHECK(server.server.domain == domain);
    }
}

TEST(EnginePlacement, anAvoidedEngineIsRankedLast)
{
    const CallerRequest request = makeSessionRequest(3, "r");
    const BackendServerId usualEngine = firstChoice(request);
    tracker.onCallEnded(usualEngine, CallOutcome::Unresponsive, Milliseconds(1), now);
    CHECK(placement.rank(request, engines(), {}, tracker, now).back()->server.id == usualEngine);
}
