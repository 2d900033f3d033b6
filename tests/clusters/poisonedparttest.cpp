#include "gatewaycluster.h"

#include "platform/names.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Names = PlatformNames;

namespace {

// Bounds of the users' platform: ends of servers after which a part is known to end them, time in which every
// host has to know, and sends allowed after it.
constexpr std::size_t knownEnds = 5;
constexpr Milliseconds contactTime { 3000 };
constexpr std::size_t allowedSends = 3;

// Share of the requests without the fatal part that may be refused while it is being found.
constexpr double maxRefusedShare = 0.05;
constexpr std::size_t hostCount = 4;
constexpr Milliseconds step { 50 };
constexpr int stepsPerFatal = 6;
constexpr int stepsPerRare = 20;
constexpr Milliseconds playTime { 14'000 };

const std::vector<FatalMoment> allMoments { FatalMoment::BeforeHead, FatalMoment::AfterHead,
    FatalMoment::InsideEvent, FatalMoment::AfterEvent };

}

TEST_GROUP(PoisonedPart)
{
    GatewayCluster cluster { hostCount, ClusterRetries::Allowed };
    int requests = 0;

    // Sends a request with these shared parts; its content and its last part occur in no other one.
    void sendWithParts(const std::string& path, const std::string& word, const std::string& parts)
    {
        sendTo(static_cast<std::size_t>(requests) % hostCount, path, word, parts);
    }

    void sendTo(std::size_t host, const std::string& path, const std::string& word, const std::string& parts)
    {
        const int number = requests++;
        const std::string last = "f" + std::to_string(number);
        cluster.send(host,
            { .path = path,
                .content = word + " " + std::to_string(number),
                .fields = { { std::string(Names::promptPartsField), parts + "," + last + ":10" } } });
    }

    // Sends requests that share parts, some of them with the fatal part, as the only difference.
    void play(const std::string& path, const std::string& fatalParts, Milliseconds time)
    {
        const int steps = static_cast<int>(time / step);
        for (int index = 0; index < steps; ++index) {
            sendWithParts(path, "ordinary", "a:100,b:50");
            if (index % stepsPerRare == 0)
                sendWithParts(path, "rare", "a:100,c:50");
            if (index % stepsPerFatal == 0)
                sendWithParts(path, "poison", fatalParts);
            cluster.runFor(step);
        }
    }

    // Number of requests sent at least some time after the fatal part was known, and of those that were served.
    std::pair<int, int> servedAfterKnown(const std::string& word, Milliseconds time) const
    {
        const std::vector<ScriptedRun> fatal = cluster.runsOf("poison");
        const TimePoint knownAt = fatal.at(std::min(fatal.size(), knownEnds) - 1).startedAt;
        std::pair<int, int> counts { 0, 0 };
        for (const ClusterResponse& response : cluster.responses) {
            if (response.content.find(word) == std::string::npos || response.sentAt < knownAt + time)
                continue;
            ++counts.first;
            counts.second += response.isComplete && response.status == 200 ? 1 : 0;
        }
        return counts;
    }

    // Number of responses with a status to requests with a word.
    int countStatus(const std::string& word, int status) const
    {
        return static_cast<int>(cluster.countResponses(word, status));
    }

    // Sends requests with the fatal part, one to each of the first three hosts, and waits until each has ended an
    // engine.
    void endThreeEngines()
    {
        for (std::size_t host = 0; host < 3; ++host) {
            sendTo(host, "/live/x", "poison", "a:100,bad:50");
            cluster.runFor(Milliseconds(100));
        }
        LONGS_EQUAL(3, cluster.runsOf("poison").size());
    }

    // Sends a request with the fatal part to each host, and checks that none reaches an engine.
    void checkRefusedByAll()
    {
        const std::size_t before = cluster.runsOf("poison").size();
        for (std::size_t host = 0; host < hostCount; ++host)
            sendTo(host, "/live/x", "poison", "a:100,bad:50");
        cluster.runFor(Milliseconds(300));
        LONGS_EQUAL(before, cluster.runsOf("poison").size());
        LONGS_EQUAL(hostCount, countStatus("poison", 503));
    }

    // Plays requests with a fatal part, and checks that it is sent to no more servers once it is known, and
    // that the requests without it are served.
    void checkFatalPart(const std::string& path, const std::string& fatalParts)
    {
        cluster.fatalMoments = allMoments;
        cluster.addServers("engines", 16);
        cluster.waitUntilReady();
        play(path, fatalParts, playTime);
        cluster.runFor(Milliseconds(1000));
        CHECK_TRUE(cluster.runsOf("poison").size() >= 3);
        CHECK_COMPARE(cluster.runsAfterEnds(knownEnds, "poison", contactTime), <=, allowedSends);
        for (const char* word : { "ordinary", "rare" }) {
            const auto [sent, served] = servedAfterKnown(word, 2 * contactTime);
            CHECK_TRUE(sent > 0);
            LONGS_EQUAL(sent, served);
            CHECK_COMPARE(countStatus(word, 503), <=, maxRefusedShare * countStatus(word, 200));
        }
    }
};

TEST(PoisonedPart, requestsWithAMiddlePartThatEndsServersAreNotSentOnceItIsKnown)
{
    cluster.fatalPart = "bad";
    checkFatalPart("/stream/x", "a:100,bad:50,b:50");
}

TEST(PoisonedPart, requestsWithAFirstPartThatEndsServersAreNotSentOnceItIsKnown)
{
    cluster.fatalPart = "bad";
    checkFatalPart("/stream/x", "bad:100,b:50");
}

TEST(PoisonedPart, streamsThatCannotResumeAreNotSentOnceTheirPartIsKnown)
{
    cluster.fatalPart = "bad";
    checkFatalPart("/live/x", "a:100,bad:50");
}

// Guards against findings that each host makes afresh, and against hosts that start without them.
TEST(PoisonedPart, hostsThatStartAgainOrLateRefuseWhatOthersFound)
{
    cluster.fatalPart = "bad";
    cluster.addServers("engines", 8);
    cluster.waitUntilReady();
    cluster.killHost(3);
    endThreeEngines();
    cluster.runFor(Milliseconds(1000));
    cluster.restartHost(0);
    cluster.restartHost(3);
    cluster.waitUntilReady();
    checkRefusedByAll();
}

// Guards against findings that are lost because the store was away when they were made.
TEST(PoisonedPart, partsThatEndServersDuringAnOutageOfTheStoreAreKnownInTimeAfterIt)
{
    cluster.fatalPart = "bad";
    cluster.addServers("engines", 8);
    cluster.waitUntilReady();
    cluster.setStoreFaults(R"({"outage":true})");
    cluster.runFor(Milliseconds(500));
    endThreeEngines();
    cluster.runFor(Milliseconds(1500));
    cluster.setStoreFaults("{}");
    cluster.runFor(contactTime);
    checkRefusedByAll();
}

// Guards against findings that are lost with a store that comes back from an older copy.
TEST(PoisonedPart, findingsAreWrittenAgainAfterTheStoreCameBackFromAnOlderCopy)
{
    cluster.fatalPart = "bad";
    cluster.addServers("engines", 8);
    cluster.waitUntilReady();
    endThreeEngines();
    cluster.runFor(Milliseconds(300));
    cluster.setStoreFaults(R"({"lose_changes":9})");
    cluster.runFor(Milliseconds(1000));
    cluster.restartHost(3);
    cluster.waitUntilReady();
    checkRefusedByAll();
}

// Guards against work for requests that will be refused at their engine.
TEST(PoisonedPart, requestsWithAKnownPartAreRefusedBeforeTheirStagesRun)
{
    cluster.fatalPart = "bad";
    cluster.addServers("engines", 8);
    cluster.addServers("stages", 2);
    cluster.waitUntilReady();
    endThreeEngines();
    cluster.runFor(Milliseconds(1000));
    for (std::size_t host = 0; host < hostCount; ++host)
        sendTo(host, "/staged/x", "staged", "a:100,bad:50");
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(0, cluster.runsOf("staged").size());
    LONGS_EQUAL(hostCount, countStatus("staged", 503));
}

// Guards against trusting that a part served well before.
TEST(PoisonedPart, aPartThatTurnsBadIsRefused)
{
    cluster.addServers("engines", 8);
    cluster.waitUntilReady();
    for (int round = 0; round < 20; ++round) {
        sendWithParts("/live/x", "before", "a:100,bad:50");
        cluster.runFor(step);
    }
    cluster.runFor(Milliseconds(300));
    cluster.fatalPart = "bad";
    endThreeEngines();
    cluster.runFor(Milliseconds(1000));
    checkRefusedByAll();
}

// Guards against refusing parts that are in flight whenever engines end for another reason.
TEST(PoisonedPart, partsOnEnginesThatEndForAnotherReasonAreServed)
{
    cluster.addServers("engines", 16);
    cluster.waitUntilReady();
    constexpr int stepsPerEnd = 7;
    for (int index = 0; index < 15 * stepsPerEnd; ++index) {
        sendWithParts("/stream/x", "ordinary", "a:100,b:50");
        if (index % stepsPerRare == 0)
            sendWithParts("/stream/x", "rare", "a:100,c:50");
        if (index % stepsPerEnd == 0)
            cluster.endServer("engines", static_cast<std::size_t>(index / stepsPerEnd));
        cluster.runFor(step);
    }
    cluster.runFor(Milliseconds(500));
    LONGS_EQUAL(0, countStatus("ordinary", 503));
    LONGS_EQUAL(0, countStatus("rare", 503));
}

// Guards against refusing for long what was in flight on all engines as they ended together.
TEST(PoisonedPart, partsOnAllEnginesThatEndTogetherAreServedSomeSecondsLater)
{
    cluster.addServers("engines", 6);
    cluster.waitUntilReady();
    for (int index = 0; index < 30; ++index)
        sendWithParts("/live/x", "early", "a:100,b:50");
    cluster.runFor(Milliseconds(15));
    cluster.endServers("engines");
    cluster.runFor(2 * contactTime);
    for (int index = 0; index < 40; ++index) {
        sendWithParts("/live/x", "first", "a:100,b:50");
        cluster.runFor(step);
    }
    for (int index = 0; index < 20; ++index) {
        sendWithParts("/live/x", "later", "a:100,b:50");
        cluster.runFor(step);
    }
    cluster.runFor(Milliseconds(300));
    LONGS_EQUAL(20, countStatus("later", 200));
}
