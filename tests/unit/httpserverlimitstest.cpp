#include "libnet/httpserver.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include <random>

using namespace Apricot;
namespace Asio = boost::asio;
using Tcp = boost::asio::ip::tcp;

namespace {

constexpr std::size_t headerBytes = 600;
constexpr std::size_t bodyBytes = 5000;
// More than the sockets of both sides buffer.
constexpr std::size_t largeResponseBytes = 16 << 20;
const std::string start = "POST /x HTTP/1.1\r\nHost: h\r\n";

std::string withLength(std::size_t bytes)
{
    return start + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'b');
}

std::string chunkOf(std::size_t bytes)
{
    std::array<char, 20> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", bytes);
    return size.data() + std::string(bytes, 'c') + "\r\n";
}

std::string inChunks(std::size_t bytes, std::size_t chunkBytes)
{
    std::string text = start + "Transfer-Encoding: chunked\r\n\r\n";
    for (std::size_t left = bytes; left > 0; left -= std::min(left, chunkBytes))
        text += chunkOf(std::min(left, chunkBytes));
    return text + "0\r\n\r\n";
}

// A request whose header, without the empty line, has this many bytes.
std::string withHeader(std::size_t bytes)
{
    const std::string field = "X-Filler: ";
    return start + field + std::string(bytes - start.size() - field.size(), 'h') + "\r\n\r\n";
}

}

// Limits of a server in every framing. Guards against a size that is refused although it is allowed, and against bytes
// beyond it that are held.
TEST_GROUP(HttpServerLimits)
{
    // Outlives the connections that the event loop destroys.
    MemoryAccount memory { { .totalBytes = 40'000 } };
    Asio::io_context context;
    HttpLimits limits { .headerBytes = headerBytes, .bodyBytes = bodyBytes };
    std::size_t receivedBytes = 0;
    int handled = 0;
    HttpServer server { context,
        { .limits = [this] { return limits; }, .memory = &memory },
        [this](HttpExchange& exchange) {
            ++handled;
            receivedBytes = exchange.request().body.size();
            const bool isLarge = exchange.request().path == "/large";
            return exchange.respond(200, "text/plain", isLarge ? std::string(largeResponseBytes, 'l') : "done");
        } };

    Tcp::socket connect()
    {
        Tcp::socket socket(context);
        socket.connect({ Asio::ip::make_address("127.0.0.1"), server.port() });
        return socket;
    }

    void run(Milliseconds time = Milliseconds(40))
    {
        context.restart();
        context.run_for(time);
    }

    // The status of the response to a text, or zero if the connection ended without one or none has come.
    int statusFor(const std::string& text)
    {
        Tcp::socket socket = connect();
        boost::system::error_code error;
        Asio::write(socket, Asio::buffer(text), error);
        run();
        return statusAt(socket);
    }

    static int statusAt(Tcp::socket & socket)
    {
        std::array<char, 1024> buffer {};
        boost::system::error_code error;
        socket.non_blocking(true);
        const std::size_t count = socket.read_some(Asio::buffer(buffer), error);
        const std::string_view response(buffer.data(), count);
        constexpr std::size_t statusAt = 9;
        return response.starts_with("HTTP/1.1 ") ? std::stoi(std::string(response.substr(statusAt, 3))) : 0;
    }
};

TEST(HttpServerLimits, servesABodyOfTheLargestSize)
{
    LONGS_EQUAL(200, statusFor(withLength(bodyBytes)));
    LONGS_EQUAL(bodyBytes, receivedBytes);
    LONGS_EQUAL(200, statusFor(inChunks(bodyBytes, 4096)));
    LONGS_EQUAL(bodyBytes, receivedBytes);
    LONGS_EQUAL(200, statusFor(inChunks(bodyBytes, 1)));
    LONGS_EQUAL(bodyBytes, receivedBytes);
    LONGS_EQUAL(0, memory.heldBytes());
}

TEST(HttpServerLimits, rejectsABodyOfOneByteMore)
{
    LONGS_EQUAL(413, statusFor(withLength(bodyBytes + 1)));
    LONGS_EQUAL(413, statusFor(inChunks(bodyBytes + 1, 4096)));
    LONGS_EQUAL(413, statusFor(inChunks(bodyBytes + 1, 1)));
    LONGS_EQUAL(0, handled);
}

TEST(HttpServerLimits, servesAHeaderOfTheLargestSizeAndRejectsOneByteMore)
{
    LONGS_EQUAL(200, statusFor(withHeader(headerBytes)));
    LONGS_EQUAL(431, statusFor(withHeader(headerBytes + 1)));
}

TEST(HttpServerLimits, rejectsTrailersAndFramingBeyondTheLargestHeader)
{
    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string filler(20'000, 'f');
    LONGS_EQUAL(431, statusFor(chunked + chunkOf(3) + "0\r\nT: " + filler));
    LONGS_EQUAL(431, statusFor(chunked + "3;e=" + filler));
    std::string trailers;
    for (int line = 0; line < 500; ++line)
        trailers += "T-" + std::to_string(line) + ": value of a trailer\r\n";
    LONGS_EQUAL(431, statusFor(chunked + chunkOf(3) + "0\r\n" + trailers));
    LONGS_EQUAL(200, statusFor(chunked + chunkOf(3) + "0\r\nT: v\r\n\r\n"));
}

// Guards against a crowd whose bodies stop short: a later request gets their memory.
TEST(HttpServerLimits, evictsStalledBodiesForALaterRequest)
{
    limits.bodyBytes = 20'000;
    std::vector<Tcp::socket> crowd;
    for (int client = 0; client < 3; ++client) {
        crowd.push_back(connect());
        const std::string text = withLength(20'000);
        Asio::write(crowd.back(), Asio::buffer(text.substr(0, 9000)));
    }
    run();
    CHECK(memory.heldBytes() > 20'000);
    CHECK(memory.heldBytes() <= memory.totalBytes());
    run(Milliseconds(1100));
    LONGS_EQUAL(200, statusFor(withLength(12'000)));
    CHECK(memory.evictions(MemoryCause::Request) > 0);
}

TEST(HttpServerLimits, refusesARequestThatFindsNoMemory)
{
    limits.bodyBytes = 200'000;
    LONGS_EQUAL(503, statusFor(withLength(100'000)));
    LONGS_EQUAL(0, handled);
    LONGS_EQUAL(1, server.counts().withoutMemory);
    LONGS_EQUAL(200, statusFor(withLength(100)));
}

TEST(HttpServerLimits, appliesNewLimitsToOpenConnections)
{
    Tcp::socket socket = connect();
    const std::string text = withLength(bodyBytes);
    Asio::write(socket, Asio::buffer(text.substr(0, 100)));
    run();
    limits.bodyBytes = 50;
    Asio::write(socket, Asio::buffer(text.substr(100)));
    run();
    LONGS_EQUAL(413, statusAt(socket));
}

TEST(HttpServerLimits, closesIdleConnectionsForNewOnes)
{
    server.setMaxConnections(16);
    std::vector<Tcp::socket> idle;
    for (int client = 0; client < 40; ++client) {
        idle.push_back(connect());
        run(Milliseconds(5));
    }
    LONGS_EQUAL(200, statusFor(withLength(10)));
    CHECK(server.counts().connections <= 16);
    CHECK(server.counts().idleClosed >= 24);
}

// Guards against clients that read nothing and keep all connections for as long as a response may take.
TEST(HttpServerLimits, closesConnectionsThatReadNothingForNewOnes)
{
    memory.setTotalBytes(1 << 20);
    server.setMaxConnections(16);
    std::vector<Tcp::socket> crowd;
    for (int client = 0; client < 16; ++client) {
        crowd.push_back(connect());
        Asio::write(crowd.back(), Asio::buffer(std::string("GET /large HTTP/1.1\r\nHost: h\r\n\r\n")));
        run(Milliseconds(5));
    }
    run(Milliseconds(1200));
    LONGS_EQUAL(200, statusFor(withLength(10)));
    CHECK(server.counts().slowClosed > 0);
}

// Heads, framings and trailers altered at random, in parts of random sizes. HTTP_FUZZ_INPUTS sets their number by hand.
TEST(HttpServerLimits, survivesAlteredRequests)
{
    const char* const text = std::getenv("HTTP_FUZZ_INPUTS");
    const int inputs = text ? std::stoi(text) : 400;
    std::mt19937 random(20261205);
    const std::vector<std::string> seeds { withLength(20), inChunks(60, 7), withHeader(200),
        start + "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nT: v\r\nU: w\r\n\r\n" };
    for (int input = 0; input < inputs; ++input) {
        std::string altered = seeds[random() % seeds.size()];
        const auto changes = 1 + random() % 4;
        for (unsigned change = 0; change < changes; ++change) {
            const std::size_t at = random() % altered.size();
            switch (random() % 4) {
            case 0:
                altered[at] = static_cast<char>(random() % 256);
                break;
            case 1:
                altered.erase(at, 1 + random() % 8);
                break;
            case 2:
                altered.insert(at, altered.substr(random() % altered.size(), random() % 16));
                break;
            default:
                altered.insert(at, std::string(random() % 4, "\r\n:;"[random() % 4]));
            }
            if (altered.empty())
                altered = "x";
        }
        Tcp::socket socket = connect();
        // A reset leaves no connection behind that would use up the ports.
        socket.set_option(Asio::socket_base::linger(true, 0));
        boost::system::error_code error;
        const std::size_t split = random() % altered.size();
        Asio::write(socket, Asio::buffer(altered.substr(0, split)), error);
        context.restart();
        context.poll();
        Asio::write(socket, Asio::buffer(altered.substr(split)), error);
        context.restart();
        context.poll();
    }
    run();
    LONGS_EQUAL(200, statusFor(withLength(10)));
    CHECK(memory.heldBytes() <= memory.totalBytes());
}
