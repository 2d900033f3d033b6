#include "libnet/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace Apricot;
namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

// Planned stops of a server under load: what clients have sent before the stop gets its response.
TEST_GROUP(HttpServerStop)
{
    Asio::io_context context;
    HttpServer server { context, {},
        [](HttpExchange& exchange) { return exchange.respond(200, "text/plain", "done"); } };

    Tcp::socket connect()
    {
        Tcp::socket socket(context);
        socket.connect({ Asio::ip::make_address("127.0.0.1"), server.port() });
        return socket;
    }

    static void send(Tcp::socket & socket, const std::string& text)
    {
        Asio::write(socket, Asio::buffer(text));
    }

    void run(Milliseconds time)
    {
        context.restart();
        context.run_for(time);
    }

    // What has arrived at a client by now; closed tells whether the connection has ended, too.
    static std::string receive(Tcp::socket & socket, bool& isClosed)
    {
        std::string text;
        std::array<char, 1024> buffer {};
        boost::system::error_code error;
        socket.non_blocking(true);
        while (!error) {
            const std::size_t count = socket.read_some(Asio::buffer(buffer), error);
            text.append(buffer.data(), count);
        }
        isClosed = error != Asio::error::would_block;
        return text;
    }

    static void checkResponse(Tcp::socket & socket)
    {
        bool isClosed = false;
        const std::string response = receive(socket, isClosed);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.ends_with("done"));
        CHECK(isClosed);
    }
};

namespace {

constexpr const char* request = "GET /x HTTP/1.1\r\nHost: h\r\n\r\n";
constexpr Milliseconds shortTime { 50 };

}

TEST(HttpServerStop, aRequestThatHasArrivedOnAnIdleConnectionIsServed)
{
    Tcp::socket socket = connect();
    run(shortTime);
    send(socket, request);
    server.closeAfterResponses();
    server.stopAfterPendingRequests();
    run(shortTime);
    checkResponse(socket);
    LONGS_EQUAL(0, server.exchangesInFlight());
}

TEST(HttpServerStop, aConnectionThatWaitsToBeAcceptedIsServed)
{
    Tcp::socket socket = connect();
    send(socket, request);
    server.closeAfterResponses();
    server.stopAfterPendingRequests();
    run(shortTime);
    checkResponse(socket);
}

TEST(HttpServerStop, aConnectionThatWasJustAcceptedIsServed)
{
    server.closeAfterResponses();
    Tcp::socket socket = connect();
    server.stopAfterPendingRequests();
    run(shortTime);
    LONGS_EQUAL(1, server.exchangesInFlight());
    send(socket, request);
    run(shortTime);
    checkResponse(socket);
}

TEST(HttpServerStop, aRequestThatIsBeingReadCountsAsInFlightAndIsServed)
{
    Tcp::socket socket = connect();
    send(socket, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n");
    run(shortTime);
    server.closeAfterResponses();
    server.stopAfterPendingRequests();
    LONGS_EQUAL(1, server.exchangesInFlight());
    send(socket, "\r\na");
    run(shortTime);
    LONGS_EQUAL(1, server.exchangesInFlight());
    send(socket, "bc");
    run(shortTime);
    checkResponse(socket);
    LONGS_EQUAL(0, server.exchangesInFlight());
}

TEST(HttpServerStop, idleConnectionsAreClosedAndNewOnesRefused)
{
    Tcp::socket socket = connect();
    send(socket, request);
    run(shortTime);
    bool isClosed = false;
    CHECK(receive(socket, isClosed).starts_with("HTTP/1.1 200"));
    CHECK_FALSE(isClosed);
    server.stopAfterPendingRequests();
    run(shortTime);
    STRCMP_EQUAL("", receive(socket, isClosed).c_str());
    CHECK(isClosed);
    LONGS_EQUAL(0, server.exchangesInFlight());
    CHECK_THROWS(boost::system::system_error, connect());
}

TEST(HttpServerStop, aConnectionWithoutARequestIsClosedSoon)
{
    Tcp::socket socket = connect();
    server.stopAfterPendingRequests();
    run(Milliseconds(600));
    bool isClosed = false;
    receive(socket, isClosed);
    CHECK(isClosed);
    LONGS_EQUAL(0, server.exchangesInFlight());
}
