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
        std::vector<const KnownServer*> all;
        for (const KnownServer& server : servers)
            all.push_back(&server);
        return all;
    }
    static CallerRequest session(int number, const char* id)
    {
        return { .id = id,
            .promptTokens = 9000,
            .promptParts = { { "common", 2500 }, { "session-" + std::to_string(number), 3800 },
                { id, 2700 } } };
    }
    BackendServerId first(const CallerRequest& request,
        const std::map<FailureDomainId, double>& inputs = {}) const
    {
        return placement.rank(request, engines(), inputs, tracker, now).front()->server.id;
    }
};

TEST(EnginePlacement, hostsThatNeverTalkedMeetAtOneEngineForASession)
{
    const EnginePlacement other;
    for (int number = 0; number < 20; ++number) {
        const BackendServerId here = first(session(number, "r1"));
        const BackendServerId there
            = other.rank(session(number, "r2"), engines(), {}, tracker, now).front()->server.id;
        CHECK(here == there);
    }
}

TEST(EnginePlacement, sessionsSpreadOverTheEngines)
{
    std::set<BackendServerId> used;
    for (int number = 0; number < 100; ++number)
        used.insert(first(session(number, "r")));
    LONGS_EQUAL(servers.size(), used.size());
}

TEST(EnginePlacement, aSessionMovesOnWhenItsEngineIsBusy)
{
    const BackendServerId usual = first(session(1, "r0"));
    for (int index = 0; index < 5; ++index)
        placement.onSent(session(1, "r0"), usual, 300'000);
    CHECK(first(session(1, "r1")) != usual);
}

TEST(EnginePlacement, largeInputsDrawARequestToTheirDomain)
{
    const CallerRequest request = session(2, "r");
    const FailureDomainId domain("c");
    const BackendServerId chosen = first(request, { { domain, 40e6 } });
    for (const KnownServer& server : servers) {
        if (server.server.id == chosen)
            CHECK(server.server.domain == domain);
    }
}

TEST(EnginePlacement, anAvoidedEngineComesLast)
{
    const CallerRequest request = session(3, "r");
    const BackendServerId usual = first(request);
    tracker.onCallEnded(usual, CallOutcome::Unresponsive, Milliseconds(1), now);
    CHECK(placement.rank(request, engines(), {}, tracker, now).back()->server.id == usual);
}
