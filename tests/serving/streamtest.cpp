#include "libserving/eventsplitter.h"
#include "libserving/stageplan.h"

#include "unit/property.h"

using namespace Apricot;

TEST_GROUP(StreamParts) {};

TEST(StreamParts, completeEventsDoNotDependOnTheChunksReceived)
{
    checkProperty("events do not depend on how the bytes are split", [](const std::vector<int>& chunkSizes) {
        const std::string stream = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c";
        EventSplitter splitter;
        std::string events;
        std::size_t offset = 0;
        for (const int chunkSize : chunkSizes) {
            const std::size_t next
                = std::min(stream.size(), offset + static_cast<std::size_t>(std::abs(chunkSize % 9)));
            events += splitter.feed(std::string_view(stream).substr(offset, next - offset));
            offset = next;
        }
        events += splitter.feed(std::string_view(stream).substr(offset));
        RC_ASSERT(events == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
        RC_ASSERT(splitter.partialEvent() == "id: 3\ndata: c");
        RC_ASSERT(splitter.lastEventId() == "2");
    });
}

// Server-sent events may end their lines with LF, CR LF or CR.
TEST(StreamParts, eventsEndWithABlankLineWhateverItsLineEnd)
{
    checkProperty("line ends of all kinds are recognised, however they are split",
        [](const std::vector<unsigned>& lineEnds, const std::vector<unsigned>& chunkSizes) {
            const std::string kinds[] = { "\n", "\r\n", "\r" };
            std::size_t next = 0;
            const auto lineEnd = [&] { return kinds[lineEnds.empty() ? 0 : lineEnds[next++ % lineEnds.size()] % 3]; };
            std::string stream;
            for (const char* id : { "1", "2" }) {
                stream += "id: " + std::string(id) + lineEnd();
                const std::string last = lineEnd();
                // A line feed after a carriage return would be part of the same line end.
                stream += "data: a" + last + (last == "\r" ? last : "\n");
            }
            const std::string unfinished = "id: 3";
            EventSplitter splitter;
            std::string events;
            std::string_view rest = stream;
            for (const unsigned chunkSize : chunkSizes) {
                const std::size_t size = std::min<std::size_t>(chunkSize % 5, rest.size());
                events += splitter.feed(rest.substr(0, size));
                rest.remove_prefix(size);
            }
            events += splitter.feed(std::string(rest));
            events += splitter.feed(unfinished);
            RC_ASSERT(events == stream);
            RC_ASSERT(splitter.lastEventId() == "2");
            RC_ASSERT(splitter.isInsideEvent());
        });
}

TEST(StreamParts, anEventEndsWithCarriageReturnsSplitOverReads)
{
    EventSplitter splitter;
    STRCMP_EQUAL("", splitter.feed("id: 1\r\ndata: a\r\n").c_str());
    STRCMP_EQUAL("id: 1\r\ndata: a\r\n\r", splitter.feed("\r").c_str());
    STRCMP_EQUAL("\n", splitter.feed("\n").c_str());
    CHECK_FALSE(splitter.isInsideEvent());
    STRCMP_EQUAL("id: 2\rdata: b\r\r", splitter.feed("id: 2\rdata: b\r\r").c_str());
    STRCMP_EQUAL("2", splitter.lastEventId().c_str());
}

TEST(StreamParts, stagesStartOnceTheirInputsAreDone)
{
    StagePlan plan({ { .pool = PoolId("a") }, { .pool = PoolId("b"), .inputs = { 0 } },
                       { .pool = PoolId("c"), .inputs = { 0, 1 } } },
        { 1, 2, 1 });
    CHECK(plan.popReadyStages() == std::vector<int>({ 0 }));
    CHECK(plan.popReadyStages().empty());
    plan.markDone(0, { "h0" });
    CHECK(plan.popReadyStages() == std::vector<int>({ 1 }));
    plan.markDone(1, { "h1", "h2" });
    CHECK(plan.popFullyReadStages().empty());
    CHECK(plan.popReadyStages() == std::vector<int>({ 2 }));
    CHECK(plan.inputsOf(2) == std::vector<std::string>({ "h0", "h1", "h2" }));
    plan.markDone(2, { "h3" });
    CHECK(plan.popFullyReadStages() == std::vector<int>({ 0, 1 }));
    CHECK(plan.finalHandles() == std::vector<std::string>({ "h3" }));
    CHECK(plan.isDone());
}

TEST(StreamParts, aStageWithoutPiecesIsSkipped)
{
    StagePlan plan({ { .pool = PoolId("a") }, { .pool = PoolId("b") } }, { 0, 1 });
    CHECK(plan.popReadyStages() == std::vector<int>({ 1 }));
    plan.markDone(1, { "h" });
    CHECK(plan.isDone());
    CHECK(plan.finalHandles() == std::vector<std::string>({ "h" }));
}

TEST(StreamParts, aStageThatReadsALaterOneIsRejected)
{
    CHECK_THROWS(std::invalid_argument,
        StagePlan({ { .pool = PoolId("a"), .inputs = { 1 } }, { .pool = PoolId("b") } }, { 1, 1 }));
}

TEST(StreamParts, criticalPathTimeCountsEachFollowingStageOnce)
{
    const StagePlan plan({ { .pool = PoolId("a") }, { .pool = PoolId("b"), .inputs = { 0 } },
                             { .pool = PoolId("c"), .inputs = { 1 } } },
        { 1, 1, 1 });
    DOUBLES_EQUAL(350, plan.criticalPathTime(0, { 100, 200, 50 }), 0.01);
    DOUBLES_EQUAL(50, plan.criticalPathTime(2, { 100, 200, 50 }), 0.01);
}

// A stage that runs in parallel with a chain of stages is delayed so that it ends together with the chain:
// it starts with the last stage of the chain, not with the first.
TEST(StreamParts, timeForOtherStagesExcludesTheGivenStage)
{
    StagePlan plan({ { .pool = PoolId("large") }, { .pool = PoolId("a") },
                       { .pool = PoolId("b"), .inputs = { 1 } } },
        { 1, 1, 1 });
    DOUBLES_EQUAL(300, plan.timeForOtherStages(0, { 150, 100, 200 }), 0.01);
    DOUBLES_EQUAL(300, plan.timeForOtherStages(-1, { 150, 100, 200 }), 0.01);
    plan.markDone(1, { "h" });
    DOUBLES_EQUAL(200, plan.timeForOtherStages(0, { 150, 0, 200 }), 0.01);
    LONGS_EQUAL(2, plan.stagesLeft());
}
