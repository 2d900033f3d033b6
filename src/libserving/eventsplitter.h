#pragma once

#include <string>
#include <string_view>

namespace Apricot {

// Splits a stream of server-sent events at event boundaries, so that only complete events are forwarded,
// and records the ID of the last one.
class EventSplitter {
public:
    // Adds received bytes and returns the events that they complete.
    std::string feed(std::string_view bytes);
    // Bytes received after the last complete event.
    const std::string& partialEvent() const { return m_partialEvent; }
    // Whether these bytes begin an event, or a line, that they do not finish. Comments begin none.
    bool isInsideEvent() const;
    // Discards a partial event before the stream is resumed at another server.
    void discardPartialEvent() { m_partialEvent.clear(); }
    // ID of the last complete event that had one, or empty.
    const std::string& lastEventId() const { return m_lastEventId; }
    // Number of complete events. Comments are none.
    std::size_t eventCount() const { return m_eventCount; }

private:
    void recordEvents(std::string_view events);

    std::string m_partialEvent;
    std::string m_lastEventId;
    std::size_t m_eventCount = 0;
};

}
