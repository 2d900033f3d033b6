#include "libnet/httpclient.h"

#include "clustersupport.h"
#include "scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cctype>
#include <memory>
#include <optional>

using namespace Apricot;
namespace Asio = boost::asio;

namespace {

constexpr Milliseconds callTimeout { 1000 };
// More than the kernel buffers for a server that responds before it reads.
constexpr std::size_t uploadBytes = 4 << 20;
constexpr int uploadRounds = 20;
constexpr const char* chunks = "2\r\nok\r\n0\r\n\r\n";

std::string responseText(const std::string& status, const std::string& fields)
{
    return "HTTP/1.1 " + status + "\r\nServer: s\r\n" + fields + "\r\n";
}

// A response that is sound but for this line of its header.
std::string responseWithField(const std::string& line)
{
    return responseText("200 OK", line + "\r\nContent-Length: 2\r\n") + "ok";
}

std::string codingLine(const std::string& coding)
{
    return "Transfer-Encoding: " + coding + "\r\n";
}

bool isNameCharacter(unsigned char byte)
{
    constexpr std::string_view others = "!#$%&'*+-.^_`|~";
    return std::isalnum(byte) != 0 || others.find(static_cast<char>(byte)) != std::string_view::npos;
}

}

// What a client reads from servers that send broken responses.
TEST_GROUP(ResponseReading)
{
    Asio::io_context context;
    ScriptedResponse scripted;
    std::uint16_t port = findFreePort();
    std::unique_ptr<ScriptedServer> server;

    void startServer(ResponseStart start = ResponseStart::AfterRequest)
    {
        server = std::make_unique<ScriptedServer>(
            context, port, [this](const HttpRequest&) { return scripted; }, start);
    }

    // Sends a call over a new connection. Returns nothing if the client does not accept the response as complete.
    std::optional<HttpResponse> receive(const ScriptedResponse& response, const std::string& upload = "")
    {
        if (!server)
            startServer();
        scripted = response;
        std::optional<HttpResponse> received;
        Asio::co_spawn(
            context,
            [&]() -> Asio::awaitable<void> {
                HttpClient client(context, { .port = port });
                HttpCall call { .method = "POST", .body = upload, .timeout = callTimeout };
                try {
                    received = co_await client.send(std::move(call));
                } catch (const boost::system::system_error&) {
                    // The response is broken.
                }
                context.stop();
            },
            Asio::detached);
        context.restart();
        context.run();
        return received;
    }

    std::optional<HttpResponse> receiveText(const std::string& bytes, ConnectionEnd end = ConnectionEnd::Close)
    {
        return receive({ .end = end, .rawBytes = bytes });
    }

    void checkIsRejected(const std::string& bytes, ConnectionEnd end = ConnectionEnd::Close)
    {
        CHECK_FALSE_TEXT(receiveText(bytes, end).has_value(), bytes.c_str());
    }

    void checkIsAccepted(const std::string& bytes, const std::string& body)
    {
        const std::optional<HttpResponse> received = receiveText(bytes);
        CHECK_TRUE_TEXT(received.has_value(), bytes.c_str());
        CHECK_EQUAL(body, received->body);
    }
};

// Guards against a status of no defined class, such as that of a server in trouble, which a caller gets as a response.
TEST(ResponseReading, aStatusOutsideTheDefinedClassesIsRejected)
{
    for (const char* status : { "000 OK", "001 OK", "099 OK", "600 OK", "700 OK", "999 OK", "000 ", "000" })
        checkIsRejected(responseText(status, "Content-Length: 2\r\n") + "ok");
    for (const char* status : { "200 OK", "299 Fine", "404 Not Found", "599 Failed" })
        checkIsAccepted(responseText(status, "Content-Length: 2\r\n") + "ok", "ok");
}

TEST(ResponseReading, aStatusThatIsNotThreeDigitsIsRejected)
{
    for (const char* status : { "", " ", "2", "20", "2000", "2x0", "-20", "+20", "0x0", " 200", "2 00" })
        checkIsRejected(responseText(status, "Content-Length: 2\r\n") + "ok");
}

// Guards against part of a response without length that looks whole: the kernel reports the reset to the write of the
// request alone, and the read sees an ordinary end of the connection.
TEST(ResponseReading, aResetThatInterruptsTheRequestDoesNotEndAResponseWithoutLength)
{
    startServer(ResponseStart::AfterRequestHeader);
    const std::string upload(uploadBytes, 'x');
    const std::string header = responseText("200 OK", "");
    const ScriptedResponse responses[] = { { .end = ConnectionEnd::Reset, .rawBytes = header + "part" },
        { .end = ConnectionEnd::Reset, .rawBytes = header },
        { .parts = { "part" }, .framing = BodyFraming::ConnectionEnd, .end = ConnectionEnd::Reset } };
    for (int round = 0; round < uploadRounds; ++round) {
        for (const ScriptedResponse& response : responses)
            CHECK_FALSE(receive(response, upload).has_value());
    }
}

// Guards against discarding, or delaying, the response of a server that does not need the rest of the request.
TEST(ResponseReading, anOrderlyEndBeforeTheEndOfTheRequestEndsAResponseWithoutLength)
{
    startServer(ResponseStart::AfterRequestHeader);
    const std::string upload(uploadBytes, 'x');
    for (const ConnectionEnd end : { ConnectionEnd::HalfClose, ConnectionEnd::HalfCloseAndReset }) {
        for (int round = 0; round < uploadRounds; ++round) {
            const TimePoint sentAt = RuntimeClock::now();
            const auto received = receive({ .end = end, .rawBytes = responseText("200 OK", "") + "whole" }, upload);
            CHECK_TRUE(received.has_value());
            CHECK_EQUAL(std::string("whole"), received->body);
            CHECK_TRUE(RuntimeClock::now() - sentAt < callTimeout);
        }
    }
}

// Guards against a folded line, which hides a field, such as the length of the body, in the value of the one before.
TEST(ResponseReading, aFoldedHeaderLineIsRejected)
{
    for (const char* fold : { " ", "\t", "  ", " \t" }) {
        const std::string hidden = "X-Signature: s\r\n" + std::string(fold) + "Content-Length: 2\r\n";
        checkIsRejected(responseText("200 OK", hidden) + "ok and more");
        checkIsRejected(responseWithField("X-Signature: s\r\n" + std::string(fold) + "more"));
        checkIsRejected(responseWithField("X-Signature: s\r\n" + std::string(fold)));
        checkIsRejected("HTTP/1.1 200 OK\r\n" + std::string(fold) + "X: y\r\nContent-Length: 2\r\n\r\nok");
    }
}

// Guards against a field whose name other readers read differently, and against a framing field that goes unnoticed.
TEST(ResponseReading, aFieldNameIsAToken)
{
    for (int code = 0; code < 256; ++code) {
        const std::string byte(1, static_cast<char>(code));
        if (isNameCharacter(static_cast<unsigned char>(code))) {
            checkIsAccepted(responseWithField("X" + byte + "a: v"), "ok");
            continue;
        }
        checkIsRejected(responseWithField(byte + "Xa: v"));
        if (byte == ":")
            continue;
        checkIsRejected(responseWithField("X" + byte + "a: v"));
        checkIsRejected(responseWithField("Xa" + byte + ": v"));
        checkIsRejected(responseText("200 OK", "Content" + byte + "Length: 2\r\n") + "ok");
        checkIsRejected(responseText("200 OK", "Content-Length" + byte + ": 2\r\n") + "ok");
        checkIsRejected(responseText("200 OK", "Transfer-Encoding" + byte + ": chunked\r\n") + chunks);
    }
    checkIsRejected(responseWithField(": v"));
    checkIsRejected(responseWithField("Xa"));
    checkIsRejected(responseWithField("X a"));
}

TEST(ResponseReading, aControlCharacterInAFieldValueIsRejected)
{
    for (int code = 0; code < 256; ++code) {
        const std::string byte(1, static_cast<char>(code));
        const bool isControl = code < 0x20 || code == 0x7f;
        if (isControl && byte != "\t")
            checkIsRejected(responseWithField("X: a" + byte + "b"));
        else
            checkIsAccepted(responseWithField("X: a" + byte + "b"), "ok");
    }
}

// Guards against a body in a coding that the caller does not learn of, because the field that names it is not forwarded.
TEST(ResponseReading, aTransferCodingOtherThanChunkedIsRejected)
{
    for (const char* coding : { "gzip", "chunked, identity", "identity", "gzip, chunked", "chunked, chunked", "chunkedx",
             "x-chunked", "chunked;q=1", "", "," }) {
        const std::string line = codingLine(coding);
        checkIsRejected(responseText("200 OK", line) + chunks);
        checkIsRejected(responseText("200 OK", line) + "ok");
        checkIsRejected(responseText("200 OK", line + codingLine("chunked")) + chunks);
        checkIsRejected(responseText("200 OK", codingLine("chunked") + line) + chunks);
    }
    for (const char* coding : { "chunked", "Chunked", "CHUNKED" })
        checkIsAccepted(responseText("200 OK", codingLine(coding)) + chunks, "ok");
}

TEST(ResponseReading, anAmbiguousLengthIsRejected)
{
    for (const char* fields : { "Content-Length: 2\r\nContent-Length: 3\r\n", "Content-Length: 2, 3\r\n", "Content-Length: -2\r\n",
             "Content-Length: 2x\r\n", "Content-Length: \r\n", "Content-Length: 99999999999999999999\r\n",
             "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n" })
        checkIsRejected(responseText("200 OK", fields) + "ok");
}

// Guards against a response that stops in its header, or in a body whose framing shows its end, and looks whole.
TEST(ResponseReading, aResponseThatStopsBeforeItsEndIsRejected)
{
    const std::string header = responseText("200 OK", "Content-Type: text/plain\r\n");
    const std::string responses[] = { header, responseText("200 OK", "Content-Length: 2\r\n") + "ok",
        responseText("200 OK", "Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n0\r\nX: y\r\n\r\n" };
    for (const std::string& response : responses) {
        for (std::size_t size = 1; size < response.size(); ++size) {
            checkIsRejected(response.substr(0, size), ConnectionEnd::Close);
            checkIsRejected(response.substr(0, size), ConnectionEnd::Reset);
        }
    }
    checkIsAccepted(header, "");
    checkIsAccepted(responses[1], "ok");
    checkIsAccepted(responses[2], "ok");
}

TEST(ResponseReading, bytesThatAreNoResponseAreRejectedAtOnce)
{
    const TimePoint startedAt = RuntimeClock::now();
    for (const char* bytes : { "HTTP/2 200 OK\r\n\r\n", "HTTP/1.2 200 OK\r\n\r\n", "HTTP/1.1 200 OK\nServer: s\n\nok",
             "HTTP/1.1 200 OK\r\nServer: s\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 O\x01K\r\n\r\n", "no response",
             "\x16\x03\x01\x02\x03\x04\x05\x06", "\r\n\r\n\r\n\r\n",
             "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\nno response" })
        checkIsRejected(bytes, ConnectionEnd::KeepOpen);
    CHECK_TRUE(RuntimeClock::now() - startedAt < callTimeout);
}

// Guards against a header that is rejected, or read twice, because it does not arrive as a whole or not alone.
TEST(ResponseReading, aResponseIsReadHoweverItsBytesArrive)
{
    const std::string response
        = "HTTP/1.1 100 Continue\r\n\r\n" + responseText("200 OK", codingLine("chunked")) + chunks;
    checkIsAccepted(response, "ok");
    for (std::size_t size = 1; size < response.size(); ++size) {
        const auto received = receive({ .end = ConnectionEnd::Close, .rawBytes = response, .rawPauseAt = size });
        CHECK_TRUE(received.has_value());
        LONGS_EQUAL(200, received->status);
        CHECK_EQUAL(std::string("ok"), received->body);
    }
}

// Guards against a header that grows without bound.
TEST(ResponseReading, aHeaderBeyondTheLimitIsRejected)
{
    checkIsAccepted(responseWithField("X: " + std::string(7000, 'x')), "ok");
    checkIsRejected(responseWithField("X: " + std::string(70'000, 'x')), ConnectionEnd::KeepOpen);
    checkIsRejected("HTTP/1.1 200 " + std::string(70'000, 'x'), ConnectionEnd::KeepOpen);
}
