#pragma once

#include <string>
#include <string_view>

namespace Apricot {

// Cuts a stream of events at the ends of events, so that none is passed on in part, and knows the
// identity of the last one.
class EventSplitter {
public:
    // Takes bytes in and returns the whole events that they complete.
    std::string feed(std::string_view bytes);
    // Bytes after the last whole event.
    const std::string& partialEvent() const { return m_partialEvent; }
    // Drops a part of an event, for a stream that goes on at another server.
    void discardPartialEvent() { m_partialEvent.clear(); }
    // Identity of the last whole event that had one, or empty.
    const std::string& lastId() const { return m_lastId; }
    bool hasEvents() const { return m_hasEvents; }

private:
    void updateLastId(std::string_view events);

    std::string m_partialEvent;
    std::string m_lastId;
    bool m_hasEvents = false;
};

}
