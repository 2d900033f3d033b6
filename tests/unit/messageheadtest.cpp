#include "libnet/messagehead.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace Apricot;

TEST_GROUP(RequestHead) {
    static bool isAccepted(const std::string& fields) {
        return !findRequestHeadError("POST /p HTTP/1.1\r\n" + fields + "\r\n");
}
}
;

TEST(RequestHead, validHeadersAreAccepted)
{
    CHECK(isAccepted("Host: a\r\nContent-Length: 3\r\n"));
    CHECK(isAccepted("Host: a\r\nTransfer-Encoding: chunked\r\n"));
    CHECK(isAccepted("host:a\r\nEmpty:\r\n"));
}

// Two HTTP parsers may read these headers differently, which allows request smuggling.
TEST(RequestHead, ambiguousHeadersAreRejected)
{
    CHECK(!isAccepted("Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n"));
    CHECK(!isAccepted("Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n"));
    CHECK(!isAccepted("Host: a\r\nContent-Length: +3\r\n"));
    CHECK(!isAccepted("Host: a\r\nContent-Length: 3, 3\r\n"));
    CHECK(!isAccepted("Host: a\r\nTransfer-Encoding: gzip, chunked\r\n"));
    CHECK(!isAccepted("Host: a\r\nTransfer-Encoding : chunked\r\n"));
    CHECK(!isAccepted("Host: a\r\nX: 1\r\n folded\r\n"));
    CHECK(!isAccepted("Host: a\r\nX: 1\nY: 2\r\n"));
    CHECK(!isAccepted(std::string("Host: a\r\nX: 1\0\r\n", 16)));
    CHECK(!isAccepted("Host: a\r\nHost: b\r\n"));
    CHECK(!isAccepted("X: 1\r\n"));
    CHECK(!isAccepted("Host: a\r\nnocolon\r\n"));
    CHECK(findRequestHeadError("GET / HTTP/1.1\r\nHost: a\r\n").has_value());
}
