#include "platform/storeobjects.h"

#include "platform/jsonsplitter.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
using namespace std::string_literals;

namespace {

std::string pageOf(const std::string& entries)
{
    return R"({"at": 9, "hasMore": false, "entries": [)" + entries + "]}";
}

constexpr const char* good = R"({"metadata":{"name":"a","revision":3},"spec":{"x":1}})";

}

TEST_GROUP(StoreObjects) {};

TEST(StoreObjects, anObjectThatCannotBeDecodedDoesNotAffectTheOthers)
{
    const std::string deep = std::string(1000, '[') + std::string(1000, ']');
    for (const std::string& spec : { "\"\xff\""s, R"("\ud800")"s, deep, "1e99999"s, "nul"s, R"("\"]}\\")"s }) {
        const std::string entries = good + R"(,{"metadata":{"name":"b","revision":4},"spec":)"s + spec + "}," + good;
        const Platform::ObjectPage page = Platform::readObjectPage("k", pageOf(entries), 2);
        LONGS_EQUAL(3, page.objects.size());
        STRCMP_EQUAL("k/b", page.objects[1].key.c_str());
        CHECK(page.objects[2].value.at("x") == 1);
        LONGS_EQUAL(2, Platform::eraOf(page.revision));
    }
}

TEST(StoreObjects, anObjectWithoutAReadableNameOrVersionIsRejectedAlone)
{
    for (const char* strange : { "7", "null", "{}", R"({"spec":1})", R"({"metadata":{"name":7,"revision":1}})",
             R"({"metadata":{"name":"b","revision":-1}})", R"({"metadata":[]})" }) {
        const Platform::ObjectPage page = Platform::readObjectPage("k", pageOf(strange + ","s + good), 0);
        LONGS_EQUAL(1, page.objects.size());
        LONGS_EQUAL(1, page.rejected);
    }
}

TEST(StoreObjects, anEventOfADeletionNeedsNoValue)
{
    const PlatformEvents events = Platform::readEvents("k",
        R"({"at":5,"events":[{"deleted":true,"object":{"metadata":{"name":"a","revision":5}}},
            {"deleted":false,"object":{"metadata":{"name":"b","revision":5}}}]})",
        0);
    LONGS_EQUAL(2, events.events.size());
    CHECK(!events.events[0].value);
    CHECK(events.events[1].value && events.events[1].value->is_null());
}

TEST(StoreObjects, aMalformedPageIsAnError)
{
    for (const char* text : { "", "null", "[]", "{", R"({"at":1})", R"({"at":1,"hasMore":false,"entries":[})",
             R"({"at":1,"hasMore":false,"entries":["a)", R"({"at":"1","hasMore":false,"entries":[]})",
             R"({"at":1,"hasMore":false,"entries":[]}x)" })
        CHECK_THROWS(std::exception, Platform::readObjectPage("k", text, 0));
}

TEST(StoreObjects, splitsNestedTexts)
{
    CHECK(Platform::splitArray(" [ 1 , [2,\"]\"] ,{\"a\":[]}, \"\\\"\" ] ")
        == std::vector<std::string_view>({ "1", "[2,\"]\"]", "{\"a\":[]}", "\"\\\"\"" }));
    CHECK(Platform::splitArray("[]").empty());
    CHECK(Platform::splitObject("{ \"a\" : {\"b\":1} , \"c\":null}")
        == (std::map<std::string_view, std::string_view>({ { "a", "{\"b\":1}" }, { "c", "null" } })));
}
