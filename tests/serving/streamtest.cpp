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
