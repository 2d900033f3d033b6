#include "property.h"

#include "load/loadreport.h"
#include "load/responsereader.h"

using namespace Apricot;

namespace {

std::string tokenEvent(std::size_t index)
{
    return "event: token\ndata: {\"i\":" + std::to_string(index) + R"(,"t":"x"})" + "\n\n";
}

std::string doneEvent(std::size_t tokens)
{
    return "event: done\ndata: {\"tokens\":" + std::to_string(tokens) + R"(,"costs":[]})" + "\n\n";
}

ResponseReader readInChunks(const std::string& stream, std::size_t chunkBytes)
{
    ResponseReader reader;
    for (std::size_t offset = 0; offset < stream.size(); offset += chunkBytes)
        reader.feed(std::string_view(stream).substr(offset, chunkBytes));
    return reader;
}

}

TEST_GROUP(Load) {};

TEST(Load, readsACompleteResponseInChunksOfAnySize)
{
    checkProperty("chunk size does not matter", [](std::uint8_t tokens, std::uint8_t drawnSize) {
        std::string stream;
        for (std::size_t index = 0; index < tokens; ++index)
            stream += tokenEvent(index);
        const ResponseReader reader = readInChunks(stream + doneEvent(tokens), 1U + drawnSize);
        RC_ASSERT(reader.isComplete());
        RC_ASSERT(reader.tokens().size() == tokens);
    });
}

TEST(Load, detectsGapsDuplicatesAndMissingEnds)
{
    CHECK_FALSE(readInChunks(tokenEvent(0) + tokenEvent(2) + doneEvent(2), 7).isComplete());
    CHECK_FALSE(readInChunks(tokenEvent(0) + tokenEvent(0) + doneEvent(1), 7).isComplete());
    LONGS_EQUAL(1, readInChunks(tokenEvent(0) + tokenEvent(0) + doneEvent(1), 7).duplicateCount());
    CHECK_FALSE(readInChunks(tokenEvent(0) + doneEvent(2), 7).isComplete());
    CHECK_FALSE(readInChunks(tokenEvent(0), 7).isDone());
}

TEST(Load, readsARefusalEvent)
{
    const ResponseReader reader = readInChunks(
        "event: refused\ndata: {\"reason\":\"overloaded\",\"ran\":\"not_run\",\"retry_after_ms\":70}"
        "\n\n",
        5);
    CHECK_TRUE(reader.refusal() && reader.refusal()->retryAfter == Milliseconds(70));
}

TEST(Load, makesTheSamePlanForTheSameSeed)
{
    Workload workload { .items = { { .weight = 1 }, { .weight = 3 } } };
    const PlanOptions options { .schedule = parseSchedule("0:50,1000:200"),
        .length = Milliseconds(2000) };
    const auto plan = makePlan(workload, options);
    const auto repeatedPlan = makePlan(workload, options);
    LONGS_EQUAL(plan.size(), repeatedPlan.size());
    CHECK_TRUE(plan.back().input == repeatedPlan.back().input);
    CHECK_TRUE(plan.size() > 150 && plan.size() < 350);
}

TEST(Load, reportsAttainmentAndPercentiles)
{
    DOUBLES_EQUAL(0, percentile({}, 0.5), 0);
    DOUBLES_EQUAL(2, percentile({ Milliseconds(3), Milliseconds(1), Milliseconds(2) }, 0.5), 0.01);
    const Workload workload { .items = { { .weight = 1 } } };
    const std::vector<RequestResult> results { { .outcome = RequestOutcome::InTime },
        { .outcome = RequestOutcome::Lost }, { .outcome = RequestOutcome::Late },
        { .outcome = RequestOutcome::InTime } };
    const auto report = makeReport(workload, results, std::chrono::seconds(1));
    DOUBLES_EQUAL(0.5, report.at("all").at("attainment").as_double(), 1e-9);
    LONGS_EQUAL(1, report.at("lost").as_int64());
    CHECK_FALSE(formatReport(report).empty());
}
