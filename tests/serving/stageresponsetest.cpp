#include "libserving/stageresponse.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

namespace {

using Results = std::vector<PieceResult>;

const ServerStart server { BackendServerId("s1"), 1 };

PieceResult done(const char* handle) { return { PieceOutcome::Done, handle }; }

const PieceResult noRoom { PieceOutcome::NoCapacity, "" };

}

TEST_GROUP(StageResponse)
{
    ReceivedHandles handles;

    StageResponse classify(int status, const std::optional<Results>& results)
    {
        return classifyStageResponse(status, results, 2, server, handles);
    }
};

// Guards against a response to an earlier call that is taken for the results of this one.
TEST(StageResponse, onlyAsManyNewResultsAsPiecesBelongToTheCall)
{
    const Results own { done("a/1"), done("a/2") };
    CHECK_TRUE(classify(200, own).kind == StageResponseKind::Results);
    for (const std::optional<Results>& foreign : { std::optional<Results>(), std::optional(Results {}),
             std::optional(Results { done("a/3") }), std::optional(Results { done("a/3"), done("a/4"), done("a/5") }),
             std::optional(own), std::optional(Results { noRoom, done("a/1") }) }) {
        const StageResponse response = classify(200, foreign);
        CHECK_TRUE(response.kind == StageResponseKind::Foreign);
        CHECK_FALSE(response.reason.empty());
        CHECK_FALSE(response.isRecognizable);
    }
    CHECK_TRUE(classify(503, std::nullopt).kind == StageResponseKind::Refused);
}

// Guards against a connection that is kept although a copy of its last response could not be told from the next one.
TEST(StageResponse, aResponseWithoutHandlesWouldNotBeRecognizedIfItCameAgain)
{
    CHECK_TRUE(classify(200, Results { done("a/1"), noRoom }).isRecognizable);
    CHECK_TRUE(classify(200, Results { noRoom, done("a/2") }).isRecognizable);
    CHECK_FALSE(classify(200, Results { noRoom, noRoom }).isRecognizable);
    CHECK_FALSE(classify(503, std::nullopt).isRecognizable);
}

// Guards against a copy that comes on a connection which was idle while others carried many large calls.
TEST(StageResponse, aResponseIsRecognizedAfterManyOthers)
{
    const Results first { done("a/first"), done("a/second") };
    classify(200, first);
    for (int call = 0; call < 200; ++call) {
        const std::string name = "a/" + std::to_string(call);
        classify(200, Results { done((name + ".0").c_str()), done((name + ".1").c_str()) });
    }
    CHECK_TRUE(classify(200, first).kind == StageResponseKind::Foreign);
}
