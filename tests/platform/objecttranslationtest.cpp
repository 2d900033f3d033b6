#include "platform/objecttranslation.h"
#include "platform/stagetranslation.h"
#include "storetexts.h"

#include <CppUTest/TestHarness.h>

#include <boost/json/parse.hpp>

using namespace Apricot;

namespace {

std::optional<ServerEntry> readServer(const std::string& text)
{
    return Platform::readServerEntry("i-1", boost::json::parse(text));
}

}

TEST_GROUP(ObjectTranslation) {};

TEST(ObjectTranslation, readsACompleteConfiguration)
{
    const ServingConfig config = Platform::readServingConfig(boost::json::parse(configText));
    LONGS_EQUAL(7, config.version);
    const Route& stream = config.routes.at(0);
    CHECK(stream.retryRule == RetryRule::Stream && stream.isResumable);
    LONGS_EQUAL(1600, stream.objective.count());
    LONGS_EQUAL(800, stream.pauseTarget.count());
    CHECK(stream.pools == std::vector<PoolShare>({ { PoolId("m1"), 90 }, { PoolId("m2"), 10 } }));
    CHECK(stream.stages.at(1).inputs == std::vector<int>({ 0 }));
    const Route& nonIdempotent = config.routes.at(1);
    CHECK(nonIdempotent.retryRule == RetryRule::NotIdempotent && nonIdempotent.isPublic);
    CHECK(!nonIdempotent.isRetryable());
    const Pool* stagePool = config.findPool(PoolId("k"));
    LONGS_EQUAL(8, stagePool->stage->batchLimit);
    DOUBLES_EQUAL(18e6, stagePool->stage->resultCapacityBytes, 1);
    LONGS_EQUAL(4000, stagePool->stage->resultLifetime.count());
    DOUBLES_EQUAL(308065, config.findPool(PoolId("m1"))->engine->memoryTokens, 0);
    LONGS_EQUAL(16384, config.limits.headerBytes);
    CHECK(config.owners->at(0).rank == 1);
    CHECK(!config.owners->at(1).rank);
}

// Guards against a configuration that takes keys away and opens the routes to all callers by it.
TEST(ObjectTranslation, everyListOfOwnersRequiresAKeyThatItHolds)
{
    const auto read = [](const std::string& fields) {
        return Platform::readServingConfig(boost::json::parse(R"({"version":1)" + fields + "}"));
    };
    CHECK_FALSE(read("").requiresKeys());
    for (const char* owners : { "null", "[]", R"([{"name":"a"}])", R"([{"name":"a","apiKeys":null}])",
             R"([{"name":"a","apiKeys":[]}])", R"([{"name":"a","apiKeys":[""]}])" }) {
        const ServingConfig config = read(R"(,"tenants":)" + std::string(owners));
        CHECK_TRUE_TEXT(config.requiresKeys(), owners);
        CHECK_TRUE_TEXT(config.findOwner("") == nullptr, owners);
        CHECK_TRUE_TEXT(config.findOwner("k") == nullptr, owners);
    }
    for (const char* owners : { "{}", "false", "0", R"("")", R"([null])", R"([{}])", R"([{"name":"a","apiKeys":{}}])",
             R"([{"name":"a","apiKeys":[0]}])" })
        CHECK_THROWS(std::exception, read(R"(,"tenants":)" + std::string(owners)));
}

// Guards against rights that an absent or empty field grants.
TEST(ObjectTranslation, fieldsThatAreAbsentOrEmptyOpenNoRoute)
{
    const auto read = [](const std::string& fields) {
        return Platform::readServingConfig(boost::json::parse(R"({"version":1)" + fields + "}"));
    };
    for (const char* routes : { "", R"(,"routes":null)", R"(,"routes":[])" })
        CHECK_TRUE_TEXT(read(routes).findRoute("h", "/a/x") == nullptr, routes);
    for (const char* isPublic : { "", R"(,"public":null)", R"(,"public":false)" }) {
        const ServingConfig config
            = read(R"(,"routes":[{"host":"h","pathPrefix":"/a/","service":"s")" + std::string(isPublic) + "}]");
        CHECK_FALSE_TEXT(config.findRoute("h", "/a/x")->isPublic, isPublic);
    }
}

TEST(ObjectTranslation, rejectsAnInvalidConfiguration)
{
    for (const char* text : { "null", "[]", "{}", R"({"version":"new"})",
             R"({"version":1,"routes":[{"host":"a"}]})", R"({"version":1,"routes":{}})" })
        CHECK_THROWS(std::exception, Platform::readServingConfig(boost::json::parse(text)));
}

// Guards against requests of a route whose stages cannot be planned: their connections were closed without an answer.
TEST(ObjectTranslation, rejectsAConfigurationWithAStageAfterALaterOne)
{
    const auto read = [](const std::string& after) {
        return Platform::readServingConfig(boost::json::parse(
            R"({"version":1,"services":[],"routes":[{"host":"h","pathPrefix":"/a/","service":"m","stages":[)"
            R"({"service":"s","after":[]},{"service":"s","after":[)"
            + after + "]}]}]}"));
    };
    LONGS_EQUAL(2, read("0").routes.at(0).stages.size());
    for (const char* after : { "1", "2", "-1", "0,1" }) {
        std::string reason;
        try {
            read(after);
        } catch (const std::exception& error) {
            reason = error.what();
        }
        STRCMP_CONTAINS("stages[1].after: expected the number of an earlier stage", reason.c_str());
    }
}

TEST(ObjectTranslation, readsAServerEntry)
{
    const auto server = readServer(serverText);
    CHECK(server.has_value());
    CHECK(server->endpoint == (Endpoint { "10.128.0.9", 8080 }));
    LONGS_EQUAL(120, server->coldTimeLeft.count());
    CHECK(!server->isDraining);
    STRCMP_EQUAL("v1", server->softwareVersion.value().c_str());
}

// A server without a version serves, but its streams can't go on at another one.
TEST(ObjectTranslation, aServerEntryMayLackItsSoftwareVersion)
{
    const auto server
        = readServer(R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready"})");
    CHECK(server.has_value());
    CHECK(server->softwareVersion.empty());
    CHECK(!readServer(R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","version":2})"));
}

TEST(ObjectTranslation, ignoresInvalidServerEntries)
{
    for (const char* text : { "null", "7", "[]", "{}", R"("text")",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"asleep"})",
             R"({"service":"m1","addr":"nowhere","zone":"a","state":"ready"})",
             R"({"service":7,"addr":"10.0.0.1:1","zone":"a","state":"ready"})",
             R"({"service":"m1","addr":"10.0.0.1:1","state":"ready"})",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","slots":"x"})",
             R"({"service":"m1","addr":"10.0.0.1:65536","zone":"a","state":"ready"})",
             R"({"service":"m1","addr":"10.0.0.1:0","zone":"a","state":"ready"})",
             R"({"service":"","addr":"10.0.0.1:1","zone":"a","state":"ready"})",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","slots":1e30})",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","seq":1e300})",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","born":-1e20})",
             R"({"service":"m1","addr":"10.0.0.1:1","zone":"a","state":"ready","coldLeftMs":1e17})" })
        CHECK_TEXT(!readServer(text), text);
}

TEST(ObjectTranslation, stageCallsCarryKeysOrInputs)
{
    const HttpCall call = Platform::makeStageCall(BackendServerId("i-9"),
        { { .requestId = "e5", .stage = 0, .piece = 2, .callerTimeLeft = Milliseconds(900), .pieceKey = "7c" },
            { .requestId = "14", .stage = 2, .callerTimeLeft = Milliseconds(5), .inputs = { "a:1/h" } } },
        Milliseconds(700));
    STRCMP_EQUAL("/-/stage-run", call.target.c_str());
    STRCMP_EQUAL(R"({"entries":[{"id":"e5","phase":0,"segment":2,"remainingMs":900,"key":"7c"},)"
                 R"({"id":"14","phase":2,"segment":0,"remainingMs":5,"inputs":["a:1/h"]}]})",
        call.body.c_str());
}

TEST(ObjectTranslation, readsPieceResultsInOrderWithTheirReasons)
{
    const auto results = Platform::readPieceResults(
        R"({"entries":[{"handle":"h"},{"reason":"gone"},{"reason":"room"},{"reason":"late"},
            {"reason":"error"}]})");
    CHECK(results
        == std::vector<PieceResult>({ { PieceOutcome::Done, "h" }, { PieceOutcome::InputGone, "" },
            { PieceOutcome::NoCapacity, "" }, { PieceOutcome::Late, "" }, { PieceOutcome::Failed, "" } }));
    CHECK_THROWS(std::exception, Platform::readPieceResults("{}"));
    CHECK_THROWS(std::exception, Platform::readPieceResults(R"({"entries":[{}]})"));
}
