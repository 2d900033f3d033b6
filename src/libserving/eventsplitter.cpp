#include "libserving/eventsplitter.h"

#include <optional>

namespace Apricot {

namespace {

    constexpr std::string_view idField = "id:";
    constexpr char commentMark = ':';

    // Removes the first line, which ends with LF, CR LF or CR, and returns it without its end. Returns nothing if
    // the line is not finished. A text that ends with CR may be continued by the LF of the same line end, which is
    // then a blank line of its own.
    std::optional<std::string_view> popLine(std::string_view& text)
    {
        const std::size_t end = text.find_first_of("\r\n");
        if (end == std::string_view::npos)
            return std::nullopt;
        const std::string_view line = text.substr(0, end);
        const bool isCrlf = text.substr(end).starts_with("\r\n");
        text.remove_prefix(end + (isCrlf ? 2 : 1));
        return line;
    }

    // Position after the last complete event of a text; zero when there is none.
    std::size_t endOfEvents(std::string_view text)
    {
        std::size_t end = 0;
        std::string_view rest = text;
        while (const std::optional<std::string_view> line = popLine(rest)) {
            if (line->empty())
                end = text.size() - rest.size();
        }
        return end;
    }

}

std::string EventSplitter::feed(std::string_view bytes)
{
    m_partialEvent += bytes;
    // Only a line end can complete an event. Searching a long unfinished one again with each read would take time with the
    // square of its size.
    if (bytes.find_first_of("\r\n") == std::string_view::npos)
        return {};
    const std::size_t end = endOfEvents(m_partialEvent);
    std::string events = m_partialEvent.substr(0, end);
    m_partialEvent.erase(0, end);
    recordEvents(events);
    return events;
}

bool EventSplitter::isInsideEvent() const
{
    std::string_view rest = m_partialEvent;
    while (!rest.empty()) {
        const std::optional<std::string_view> line = popLine(rest);
        if (!line || !line->starts_with(commentMark))
            return true;
    }
    return false;
}

void EventSplitter::recordEvents(std::string_view events)
{
    bool hasField = false;
    while (std::optional<std::string_view> line = popLine(events)) {
        if (line->empty() && hasField)
            ++m_eventCount;
        hasField = !line->empty() && (hasField || !line->starts_with(commentMark));
        if (!line->starts_with(idField))
            continue;
        line->remove_prefix(idField.size());
        if (line->starts_with(' '))
            line->remove_prefix(1);
        m_lastEventId = *line;
    }
}

}
