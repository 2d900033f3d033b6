#include "libserving/eventsplitter.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr std::string_view eventEnd = "\n\n";
    constexpr std::string_view eventEndCrlf = "\r\n\r\n";
    constexpr std::string_view idField = "id:";

    // Position after the last whole event of a text, or zero.
    std::size_t endOfEvents(std::string_view text)
    {
        std::size_t end = 0;
        for (const std::string_view mark : { eventEnd, eventEndCrlf }) {
            const std::size_t found = text.rfind(mark);
            if (found != std::string_view::npos)
                end = std::max(end, found + mark.size());
        }
        return end;
    }

}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_rest += bytes;
    const std::size_t end = endOfEvents(m_rest);
    std::string events = m_rest.substr(0, end);
    m_rest.erase(0, end);
    if (!events.empty()) {
        m_hasEvents = true;
        noteIds(events);
    }
    return events;
}

void EventSplitter::noteIds(std::string_view events)
{
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size());
        std::string_view line = events.substr(0, end);
        events.remove_prefix(std::min(end + 1, events.size()));
        if (!line.starts_with(idField))
            continue;
        line.remove_prefix(idField.size());
        if (line.starts_with(' '))
            line.remove_prefix(1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        m_lastId = line;
    }
}

}
