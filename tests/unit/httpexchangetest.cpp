#include "libnet/asyncevent.h"
#include "libnet/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Asio = boost::asio;

TEST_GROUP(HttpExchange)
{
    Asio::io_context context;
    std::string received;
    // How the connection ended at the caller.
    boost::system::error_code end;

    // Sends a request without keep-alive of a protocol version, and reads until the connection ends.
    void callWith(const std::string& version, HttpHandler handler)
    {
        HttpServer server(context, {}, std::move(handler));
        Asio::co_spawn(
            context,
            [&]() -> Asio::awaitable<void> {
                Asio::ip::tcp::socket socket(context);
                const Asio::ip::tcp::endpoint target(Asio::ip::make_address("127.0.0.1"), server.port());
                co_await socket.async_connect(target, Asio::use_awaitable);
                const std::string request
                    = "GET /x " + version + "\r\nHost: h\r\nConnection: close\r\n\r\n";
                co_await Asio::async_write(socket, Asio::buffer(request), Asio::use_awaitable);
                co_await Asio::async_read(socket, Asio::dynamic_buffer(received),
                    Asio::redirect_error(Asio::use_awaitable, end));
            },
            [this](std::exception_ptr) { context.stop(); });
        context.run();
    }

    static Asio::awaitable<void> respondWithStream(HttpExchange & exchange, bool isBroken)
    {
        co_await exchange.beginStream(200, "text/event-stream");
        co_await exchange.writeChunk("data: a\n\n");
        co_await sleepFor(co_await Asio::this_coro::executor, Milliseconds(20));
        if (isBroken)
            exchange.abort();
        else
            co_await exchange.endStream();
    }
};

TEST(HttpExchange, aCallerOfHttp10GetsAStreamWithoutChunks)
{
    callWith("HTTP/1.0", [](HttpExchange& exchange) { return respondWithStream(exchange, false); });
    CHECK_TRUE(received.ends_with("\r\n\r\ndata: a\n\n"));
    CHECK_TRUE(received.find("chunked") == std::string::npos);
    CHECK_TRUE(end == Asio::error::eof);
}

TEST(HttpExchange, aCallerOfHttp10SeesThatAStreamBrokeOff)
{
    callWith("HTTP/1.0", [](HttpExchange& exchange) { return respondWithStream(exchange, true); });
    CHECK_TRUE(received.ends_with("data: a\n\n"));
    CHECK_TRUE(end == Asio::error::connection_reset);
}

TEST(HttpExchange, aCallerThatClosesItsConnectionSeesThatAStreamBrokeOff)
{
    callWith("HTTP/1.1", [](HttpExchange& exchange) { return respondWithStream(exchange, true); });
    CHECK_TRUE(received.ends_with("data: a\n\n\r\n"));
    received.clear();
    context.restart();
    callWith("HTTP/1.1", [](HttpExchange& exchange) { return respondWithStream(exchange, false); });
    CHECK_TRUE(received.ends_with("data: a\n\n\r\n0\r\n\r\n"));
}
