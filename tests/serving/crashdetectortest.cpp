#include "libserving/crashdetector.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

constexpr Fingerprint request = 7;

ServerEntry makeServer(const char* id, std::int64_t startedAt)
{
    return { .id = BackendServerId(id),
        .pool = PoolId("plain"),
        .endpoint = { "10.0.0.1", 8080 },
        .startedAt = startedAt };
}

EndedRun makeRun(const ServerEntry& server, RunEnd end, TimePoint sentAt)
{
    return { .fingerprint = request,
        .server = { server.id, server.startedAt },
        .endpoint = server.endpoint,
        .end = end,
        .sentAt = sentAt };
}

}

TEST_GROUP(CrashDetector)
{
    const TimePoint now { std::chrono::hours(1) };
    const ServerEntry server = makeServer("s1", 100);
    const ServerStart start { server.id, server.startedAt };
    ServerDirectory servers;
    CrashDetector detector;

    void setup() override { servers.put(server, now); }

    std::size_t crashesOnChange(TimePoint time)
    {
        std::size_t count = 0;
        for (const auto& [evidence, crashes] : detector.onServersChanged(servers, time))
            count += crashes.size();
        return count;
    }
};

TEST(CrashDetector, aBrokenConnectionAloneIsNoCrash)
{
    CHECK_TRUE(detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now));
    LONGS_EQUAL(0, crashesOnChange(now + Milliseconds(1)));
    LONGS_EQUAL(1, detector.pendingRuns());
}

TEST(CrashDetector, aRefusedConnectionConfirmsTheCrashOfEachBrokenRun)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    EndedRun other = makeRun(server, RunEnd::Broken, now);
    other.fingerprint = request + 1;
    detector.recordRun(other, servers, now);
    // Its caller left before, so the server may have dropped it.
    detector.recordRun(makeRun(server, RunEnd::Silent, now), servers, now);
    const std::vector<DetectedCrash> crashes = detector.onConnectionRefused(start, now);
    LONGS_EQUAL(2, crashes.size());
    CHECK_TRUE(crashes.front().crash == (ServerCrash { server.id, server.startedAt }));
    LONGS_EQUAL(0, detector.onConnectionRefused(start, now).size());
}

// Guards against a server that ends in order, so that the end of its response does not look broken.
TEST(CrashDetector, aResponseThatEndedWithItsConnectionMayHaveCrashed)
{
    CHECK_FALSE(detector.recordRun(makeRun(server, RunEnd::Unproven, now), servers, now));
    LONGS_EQUAL(1, detector.onConnectionRefused(start, now).size());
    detector.recordRun(makeRun(server, RunEnd::Unproven, now), servers, now);
    servers.put(makeServer("s1", 200), now);
    LONGS_EQUAL(1, crashesOnChange(now + Milliseconds(1)));
}

// Guards against subjects that never finish on servers whose responses always end with their connections.
TEST(CrashDetector, aLaterResponseProvesOneThatEndedWithItsConnection)
{
    const TimePoint nextCall = now + CrashDetectorOptions {}.sameStartTime;
    detector.recordRun(makeRun(server, RunEnd::Unproven, now), servers, now);
    LONGS_EQUAL(0, detector.drainProven().size());
    detector.recordRun(makeRun(server, RunEnd::Unproven, nextCall), servers, nextCall);
    LONGS_EQUAL(1, detector.drainProven().size());
    LONGS_EQUAL(1, detector.pendingRuns());
    // The server may have started again before this call.
    const TimePoint muchLater = nextCall + CrashDetectorOptions {}.sameStartTime + Milliseconds(1);
    detector.recordRun(makeRun(server, RunEnd::Complete, muchLater), servers, muchLater);
    LONGS_EQUAL(0, detector.drainProven().size());
}

TEST(CrashDetector, partsAreClearedByALongResponseBeforeTheCrash)
{
    EndedRun run = makeRun(server, RunEnd::Broken, now);
    run.parts = { { 11, "a" } };
    run.respondedFor = CrashDetectorOptions {}.provenResponseTime - Milliseconds(1);
    detector.recordRun(run, servers, now);
    run.respondedFor += Milliseconds(1);
    detector.recordRun(run, servers, now);
    const std::vector<DetectedCrash> crashes = detector.onConnectionRefused(start, now);
    LONGS_EQUAL(2, crashes.size());
    CHECK_FALSE(crashes.front().clearsParts);
    CHECK_TRUE(crashes.back().clearsParts);
    CHECK_TRUE(crashes.front().subjects == (std::vector<PoisonSubject> { { request }, { 11, "a" } }));
}

TEST(CrashDetector, theNextStartOfTheServerConfirmsTheCrash)
{
    detector.recordRun(makeRun(server, RunEnd::Silent, now), servers, now);
    servers.put(makeServer("s1", 200), now);
    LONGS_EQUAL(1, crashesOnChange(now + Milliseconds(1)));
}

TEST(CrashDetector, anotherServerAtItsAddressConfirmsTheCrash)
{
    detector.recordRun(makeRun(server, RunEnd::Silent, now), servers, now);
    servers.put(makeServer("s2", 200), now);
    LONGS_EQUAL(1, crashesOnChange(now + Milliseconds(1)));
}

TEST(CrashDetector, theEndOfTheRegistrationConfirmsTheCrash)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    servers.remove(server.id, now);
    LONGS_EQUAL(1, crashesOnChange(now + Milliseconds(1)));
}

// Guards against condemning requests during an outage of the store, when registrations expire while the
// servers continue.
TEST(CrashDetector, anExpiredRegistrationDuringAnOutageIsNoCrash)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    servers.onStoreLost(now);
    servers.remove(server.id, now);
    LONGS_EQUAL(0, crashesOnChange(now + Milliseconds(1)));
}

TEST(CrashDetector, aServerThatLeavesAsPlannedIsNoCrash)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    ServerEntry draining = server;
    draining.isDraining = true;
    servers.put(draining, now);
    LONGS_EQUAL(0, crashesOnChange(now + Milliseconds(1)));
    servers.remove(server.id, now);
    LONGS_EQUAL(0, crashesOnChange(now + Milliseconds(2)));
    CHECK_FALSE(detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now));
}

TEST(CrashDetector, aLaterResponseOfTheServerClearsItsRuns)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    detector.recordRun(makeRun(server, RunEnd::Complete, now - Milliseconds(1)), servers, now);
    LONGS_EQUAL(1, detector.pendingRuns());
    detector.recordRun(makeRun(server, RunEnd::Complete, now + Milliseconds(1)), servers, now);
    LONGS_EQUAL(0, detector.pendingRuns());
}

// Guards against condemning requests when hosts were partitioned from a server that continued.
TEST(CrashDetector, aServerThatReturnsWithTheSameStartHadNotEnded)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    servers.remove(server.id, now);
    LONGS_EQUAL(1, crashesOnChange(now + Milliseconds(1)));
    LONGS_EQUAL(0, detector.drainWithdrawn().size());
    servers.put(server, now);
    crashesOnChange(now + Milliseconds(2));
    LONGS_EQUAL(1, detector.drainWithdrawn().size());
    LONGS_EQUAL(0, detector.drainWithdrawn().size());
}

// Guards against losing a crash because its server started again under its ID, and responded before its new
// entry was known.
TEST(CrashDetector, aResponseDoesNotWithdrawACrash)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    LONGS_EQUAL(1, detector.onConnectionRefused(start, now).size());
    detector.recordRun(makeRun(server, RunEnd::Complete, now + Milliseconds(1)), servers, now);
    servers.put(makeServer("s1", 200), now);
    crashesOnChange(now + Milliseconds(2));
    LONGS_EQUAL(0, detector.drainWithdrawn().size());
}

TEST(CrashDetector, theEndOfAServerIsNotAttributedToRunsLongBefore)
{
    detector.recordRun(makeRun(server, RunEnd::Broken, now), servers, now);
    servers.remove(server.id, now);
    LONGS_EQUAL(0, crashesOnChange(now + CrashDetectorOptions {}.attributionTime));
    LONGS_EQUAL(0, detector.pendingRuns());
}
