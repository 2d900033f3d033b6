#include "libserving/streamend.h"

#include "unit/property.h"

using namespace Apricot;

namespace {

StreamEnd endAfter(std::string_view stream, BodyFraming framing = BodyFraming::ConnectionEnd)
{
    EventSplitter events;
    events.feed(stream);
    return streamEndOf(framing, events, events.eventCount() > 0);
}

}

TEST_GROUP(StreamEndOf) {};

TEST(StreamEndOf, isBrokenInsideAnEventWhateverTheFraming)
{
    const std::vector<std::string> unfinished { "id: 2", "id: 2\n", "id: 2\ndata: b", "id: 2\ndata: b\n", ": com",
        ": comment\nid: 2\n", "id: 2\r\ndata: b\r\n" };
    for (const std::string& rest : unfinished) {
        for (const BodyFraming framing :
            { BodyFraming::ConnectionEnd, BodyFraming::Chunks, BodyFraming::Length })
            CHECK(endAfter("id: 1\ndata: a\n\n" + rest, framing) == StreamEnd::Broken);
    }
}

TEST(StreamEndOf, isNotBrokenByACommentAfterTheLastEvent)
{
    const std::string stream = "id: 1\ndata: a\n\n: end of stream\n";
    CHECK(endAfter(stream) == StreamEnd::Unproven);
    CHECK(endAfter(stream, BodyFraming::Chunks) == StreamEnd::Complete);
    CHECK(endAfter("id: 1\r\ndata: a\r\n\r\n: end\r\n", BodyFraming::Length) == StreamEnd::Complete);
}

TEST(StreamEndOf, needsAnEventInAResponseWithoutLength)
{
    CHECK(endAfter("") == StreamEnd::Broken);
    CHECK(endAfter(": comment\n") == StreamEnd::Broken);
    CHECK(endAfter(": comment\n\n") == StreamEnd::Broken);
    CHECK(endAfter("", BodyFraming::Length) == StreamEnd::Complete);
}

TEST(StreamEndOf, isBrokenAtEveryByteOfAnEvent)
{
    checkProperty("a stream cut inside an event is broken", [](const std::string& text) {
        std::string data;
        for (const char character : text) {
            if (character != '\n' && character != '\r')
                data += character;
        }
        const std::string event = "id: 2\ndata: " + data + "\n\n";
        for (std::size_t length = 1; length < event.size(); ++length)
            RC_ASSERT(endAfter("id: 1\ndata: a\n\n" + event.substr(0, length)) == StreamEnd::Broken);
        RC_ASSERT(endAfter("id: 1\ndata: a\n\n" + event) == StreamEnd::Unproven);
    });
}
