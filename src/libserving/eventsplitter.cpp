#include "libserving/eventsplitter.h"

#include <algorithm>

namespace Apricot {

namespace {

    constexpr std::string_view idField = "id:";
    constexpr char commentMark = ':';

    // Position after the last complete event of a text; zero when there is none.
    std::size_t endOfEvents(std::string_view text)
    {
        constexpr std::string_view eventTerminator = "\n\n";
        constexpr std::string_view eventTerminatorCrlf = "\r\n\r\n";
        std::size_t end = 0;
        for (const std::string_view terminator : { eventTerminator, eventTerminatorCrlf }) {
            const std::size_t found = text.rfind(terminator);
            if (found != std::string_view::npos)
                end = std::max(end, found + terminator.size());
        }
        return end;
    }

}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partialEvent += bytes;
    const std::size_t end = endOfEvents(m_partialEvent);
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    updateLastId(events);
    return events;
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view rest = m_partialEvent;
    while (!rest.empty()) {
        const std::size_t end = rest.find('\n');
        const bool isFieldLine = rest.front() != commentMark && rest.front() != '\r' && rest.front() != '\n';
        if (end == std::string_view::npos || isFieldLine)
            return true;
        rest.remove_prefix(end + 1);
    }
    return false;
}

void EventSplitter::updateLastId(std::string_view events)
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
        m_lastEventId = line;
    }
}

}
