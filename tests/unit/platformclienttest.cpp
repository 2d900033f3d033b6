#include "platformfixture.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

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

namespace {

// Answers one call with the beginning of a response, and holds the connection.
asio::awaitable<void> respondWithoutEnd(asio::ip::tcp::acceptor& acceptor, asio::ip::tcp::socket& socket)
{
    socket = co_await acceptor.async_accept(asio::use_awaitable);
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{";
    co_await asio::async_write(socket, asio::buffer(head), asio::use_awaitable);
}

}

// Guards against a watch that lasts several times its wait, because the wait counts again for the body of the response.
TEST(PlatformClient, aWatchWhoseResponseDoesNotEndLastsNoMultipleOfItsWait)
{
    constexpr Milliseconds wait { 2000 };
    constexpr Milliseconds callTimeout { 100 };
    asio::ip::tcp::acceptor acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    asio::ip::tcp::socket socket(context);
    PlatformClient stalled { context, { .port = acceptor.local_endpoint().port(), .timeout = callTimeout } };
    asio::co_spawn(context, respondWithoutEnd(acceptor, socket), asio::detached);
    Duration time { 0 };
    runToEnd([&]() -> asio::awaitable<void> {
        const TimePoint startedAt = RuntimeClock::now();
        try {
            co_await stalled.watch("config/", 1, wait);
        } catch (const PlatformUnavailable&) {
            time = RuntimeClock::now() - startedAt;
        }
    });
    CHECK(time > Duration(0));
    CHECK(time < wait + callTimeout);
}
