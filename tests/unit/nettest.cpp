#include "libnet/asyncevent.h"
#include "libnet/httpclient.h"
#include "libnet/peerstream.h"

#include "property.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>
#include <memory>
#include <vector>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

// Runs the context, with the servers on it, until the coroutine ends. Rethrows its exception.
void runToEnd(Asio::io_context& context, std::function<Asio::awaitable<void>()> body)
{
    std::exception_ptr failure;
    Asio::co_spawn(context, std::move(body), [&](std::exception_ptr error) {
        failure = error;
        context.stop();
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

Asio::awaitable<void> echoBodyAndTail(HttpExchange& exchange)
{
    co_await exchange.beginStream(200, "text/plain");
    co_await exchange.writeChunk(exchange.request().body);
    co_await exchange.writeChunk(exchange.request().parameter("tail"));
    co_await exchange.endStream();
}

Asio::awaitable<void> writeThreeTokens(std::shared_ptr<PeerStream> stream)
{
    const std::optional<Message> first = co_await stream->read();
    const auto& submit = std::get<SubmitMessage>(*first);
    for (std::uint64_t index = 0; index < 3; ++index) {
        Message token = TokenMessage { .index = index, .text = submit.input };
        co_await stream->write(std::move(token));
    }
    Message completed = CompletedMessage { .tokens = 3 };
    co_await stream->write(std::move(completed));
}

}

TEST_GROUP(Net) {};

TEST(Net, httpStreamsArriveCompletelyOverOneConnection)
{
    Asio::io_context context;
    HttpServer server(context, {}, echoBodyAndTail);
    HttpClient client(context, { .port = server.port() });
    std::string body;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        for (int round = 0; round < 3; ++round) {
            HttpCall call { .method = "POST", .target = "/echo?tail=%21x", .body = "hello" };
            const HttpResponse response = co_await client.send(std::move(call));
            body += response.body;
        }
    });
    STRCMP_EQUAL("hello!xhello!xhello!x", body.c_str());
}

TEST(Net, anOversizeBodyIsRefusedWith413)
{
    Asio::io_context context;
    HttpServer server(context, { .bodyLimitBytes = 16 }, echoBodyAndTail);
    HttpClient client(context, { .port = server.port() });
    int status = 0;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        HttpCall call { .method = "POST", .body = std::string(64, 'x') };
        const HttpResponse response = co_await client.send(std::move(call));
        status = response.status;
    });
    LONGS_EQUAL(413, status);
}

TEST(Net, aSendGateThatReturnsFalsePreventsSending)
{
    Asio::io_context context;
    int served = 0;
    HttpServer server(context, {}, [&](HttpExchange& exchange) -> Asio::awaitable<void> {
        ++served;
        co_await exchange.respond(200, "text/plain", "");
    });
    HttpClient client(context, { .port = server.port() });
    bool isOpened = true;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        const HttpCall call;
        const auto stream = co_await client.open(call, [] { return false; });
        isOpened = stream != nullptr;
        co_await client.send(call);
    });
    CHECK_FALSE(isOpened);
    LONGS_EQUAL(1, served);
}

TEST(Net, aDisconnectIsReportedWhileTheHandlerWaits)
{
    Asio::io_context context;
    AsyncEvent disconnected(context.get_executor());
    bool isReported = false;
    HttpServer server(context, {}, [&](HttpExchange& exchange) -> Asio::awaitable<void> {
        exchange.setPeerDisconnectedHandler([&] {
            isReported = true;
            disconnected.notifyAll();
        });
        co_await exchange.beginStream(200, "text/plain");
        co_await exchange.writeChunk("x");
        co_await disconnected.wait();
    });
    HttpClient client(context, { .port = server.port() });
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        const HttpCall call;
        auto stream = co_await client.open(call);
        co_await stream->read();
        stream.reset();
        co_await disconnected.wait();
    });
    CHECK_TRUE(isReported);
}

TEST(Net, peerStreamsCarryTypedMessages)
{
    Asio::io_context context;
    PeerServer server(context, {}, writeThreeTokens);
    PeerClient client(context);
    std::string text;
    std::uint64_t tokens = 0;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        const PeerEndpoint endpoint { "127.0.0.1", server.port() };
        Message submit = SubmitMessage { .input = "ab" };
        const auto stream
            = co_await client.open(endpoint, std::move(submit), Milliseconds(1000));
        while (std::optional<Message> message = co_await stream->read()) {
            if (const auto* token = std::get_if<TokenMessage>(&*message))
                text += token->text;
            if (const auto* done = std::get_if<CompletedMessage>(&*message))
                tokens = done->tokens;
        }
    });
    STRCMP_EQUAL("ababab", text.c_str());
    LONGS_EQUAL(3, tokens);
}

TEST(Net, aClosedPortIsReportedAsRefused)
{
    Asio::io_context context;
    std::uint16_t port = 0;
    {
        Asio::ip::tcp::acceptor acceptor(
            context, { Asio::ip::make_address("127.0.0.1"), 0 });
        port = acceptor.local_endpoint().port();
    }
    PeerClient client(context);
    std::optional<PeerFailure> failure;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        const PeerEndpoint endpoint { "127.0.0.1", port };
        const Message request = TextMessage {};
        try {
            co_await client.call(endpoint, request, Milliseconds(1000));
        } catch (const PeerError& error) {
            failure = error.failure();
        }
    });
    CHECK_TRUE(failure == PeerFailure::Refused);
}

TEST(Net, anUnresponsivePeerIsReportedAsUnreachable)
{
    Asio::io_context context;
    AsyncEvent never(context.get_executor());
    PeerServer server(context, {}, [&](std::shared_ptr<PeerStream>) { return never.wait(); });
    PeerClient client(context);
    std::optional<PeerFailure> failure;
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        const PeerEndpoint endpoint { "127.0.0.1", server.port() };
        const Message request = TextMessage {};
        try {
            co_await client.call(endpoint, request, Milliseconds(50));
        } catch (const PeerError& error) {
            failure = error.failure();
        }
    });
    CHECK_TRUE(failure == PeerFailure::Unreachable);
}

// Guards against processes that are woken by each of their connections although nothing is sent over them.
TEST(Net, idleConnectionsToPeersDoNotWakeTheirProcess)
{
    constexpr int peers = 8;
    Asio::io_context context;
    const auto respond = [](std::shared_ptr<PeerStream> stream) -> Asio::awaitable<void> {
        co_await stream->read();
        Message response = TextMessage {};
        co_await stream->write(std::move(response));
    };
    std::vector<std::unique_ptr<PeerServer>> servers;
    servers.reserve(peers);
    for (int index = 0; index < peers; ++index)
        servers.push_back(std::make_unique<PeerServer>(context, PeerServerOptions {}, respond));
    PeerClient client(context);
    runToEnd(context, [&]() -> Asio::awaitable<void> {
        for (const auto& server : servers) {
            const PeerEndpoint endpoint { "127.0.0.1", server->port() };
            const Message request = TextMessage {};
            co_await client.call(endpoint, request, Milliseconds(1000));
        }
    });
    context.restart();
    // The check that the last call has ended may still be due.
    context.run_for(Milliseconds(700));
    LONGS_EQUAL(0, context.run_for(Milliseconds(1500)));
}

TEST(Net, truncatedOrUnknownMessagesAreErrors)
{
    checkProperty("no prefix of a message decodes", [](const std::string& text) {
        const std::string bytes = encodeMessage(TokenMessage { .index = 7, .text = text });
        const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size());
        RC_ASSERT_THROWS_AS(decodeMessage(bytes.substr(0, cut)), MessageError);
    });
    CHECK_THROWS(MessageError, decodeMessage("\x01\x7f"));
    CHECK_THROWS(MessageError, decodeMessage("\x02\x01"));
}
