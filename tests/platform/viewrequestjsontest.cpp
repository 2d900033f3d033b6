#include "gateway/viewrequestjson.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ViewRequestJson) {};

TEST(ViewRequestJson, readsWhatAHostWrites)
{
    const ViewRequest request { .entries
        = { { "config/", { .revision = 7, .withObjects = false, .age = Milliseconds(120) } },
            { "servers/", { .revision = 9, .withObjects = true, .age = Milliseconds(80) } } },
        .wait = Milliseconds(1200) };
    CHECK(readViewRequest(toJson(request)) == request);
}

// The form that builds up to 19cc7c8 write, which are in one fleet with later ones during an upgrade.
TEST(ViewRequestJson, readsTheRequestOfAnEarlierBuild)
{
    const ViewRequest request
        = readViewRequest(R"({"config/":{"revision":7,"objects":true},"servers/":{"revision":0,"objects":false}})");
    LONGS_EQUAL(0, request.wait.count());
    LONGS_EQUAL(2, request.entries.size());
    LONGS_EQUAL(7, request.entries.at("config/").revision);
    CHECK_TRUE(request.entries.at("config/").withObjects);
    CHECK_FALSE(request.entries.at("servers/").withObjects);
}

TEST(ViewRequestJson, ignoresTheFieldsOfALaterBuild)
{
    const ViewRequest request = readViewRequest(
        R"({"config/":{"revision":7,"objects":true,"age_ms":5,"added":[1]},"added":{"x":1},"wait_ms":10})");
    LONGS_EQUAL(1, request.entries.size());
    LONGS_EQUAL(5, request.entries.at("config/").age.count());
    LONGS_EQUAL(10, request.wait.count());
}

TEST(ViewRequestJson, rejectsWhatIsNoRequest)
{
    for (const char* text : { "", "[]", "7", R"({"config/":7})", R"({"config/":{"revision":-1,"objects":true}})",
             R"({"config/":{"revision":1}})", R"({"wait_ms":"long"})" })
        CHECK_THROWS(std::exception, readViewRequest(text));
}
