#include "platformfixture.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace asio = boost::asio;

namespace {

class PlatformTestBase : public Utest, public PlatformFixture { };

}

TEST_GROUP_BASE(PlatformClient, PlatformTestBase) {};

TEST(PlatformClient, writesAndRemovesOnlyWhenTheVersionMatches)
{
    runToEnd([this]() -> asio::awaitable<void> {
        const WriteResult created = co_await client.put("a/b-c", "one", 0);
        LONGS_EQUAL(1, std::get<WriteStored>(created).version);
        const WriteResult conflicting = co_await client.put("a/b-c", "two", 0);
        CHECK(std::get<WriteConflict>(conflicting).current->value == "one");
        const std::optional<PlatformObject> read = co_await client.get("a/b-c");
        STRCMP_EQUAL("a/b-c", read->key.c_str());
        CHECK(std::holds_alternative<WriteStored>(co_await client.remove("a/b-c", 1)));
        CHECK(!(co_await client.get("a/b-c")));
        const PlatformWatch watchResult = co_await client.watch("a/", 0, Milliseconds(100));
        const auto& events = std::get<PlatformEvents>(watchResult);
        LONGS_EQUAL(2, events.revision);
        CHECK(!events.events.back().value);
    });
}

TEST(PlatformClient, reportsALostResponseAsUnknownAndResolvesItByTheToken)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await setFaults(R"({"lose_answers":1.0})");
        CHECK(std::holds_alternative<WriteUnknown>(co_await client.put("a/x", "mine", 0)));
        co_await setFaults("{}");
        const std::optional<PlatformObject> stored = co_await client.get("a/x");
        CHECK(stored && stored->value == "mine");
        // Half of the responses are lost, so several writes in a row need to be confirmed.
        co_await setFaults(R"({"lose_answers":0.5,"seed":7})");
        for (int index = 0; index < 20; ++index) {
            const boost::json::string token = std::to_string(index).c_str();
            OwnWriteCheck isOwn = [&](const PlatformObject& object) { return object.value == token; };
            const std::string key = "tokens/" + std::to_string(index);
            const WriteResult result
                = co_await client.putConfirmed(key, token, 0, std::move(isOwn));
            CHECK(!std::holds_alternative<WriteConflict>(result));
        }
    });
}

TEST(PlatformClient, reportsAnOutageAndWritesNothing)
{
    runToEnd([this]() -> asio::awaitable<void> {
        co_await setFaults(R"({"outage":true})");
        bool isUnavailable = false;
        try {
            co_await client.put("a/x", 1, std::nullopt);
        } catch (const PlatformUnavailable& error) {
            isUnavailable = error.retryAfter() == Milliseconds(1000);
        }
        CHECK(isUnavailable);
        co_await setFaults(R"({"cut_hosts":["h1"]})");
        CHECK(std::holds_alternative<WriteUnknown>(co_await client.put("a/x", 1, std::nullopt)));
        co_await setFaults("{}");
        CHECK(!(co_await client.get("a/x")));
    });
}
