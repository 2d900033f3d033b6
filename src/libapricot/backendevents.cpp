#include "libapricot/backendevents.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

namespace Apricot {

namespace {

    constexpr std::string_view dataPrefix = "data:";
    constexpr std::size_t lineLimitBytes = 1024UL * 1024;

    BackendEvent parseEvent(const boost::json::object& object)
    {
        if (object.contains("done")) {
            const boost::json::value* busy = object.if_contains("busy_ms");
            return BackendDone { .tokens = object.at("tokens").to_number<std::uint64_t>(),
                .busy = Milliseconds(busy ? busy->to_number<std::int64_t>() : 0) };
        }
        return BackendToken { .index = object.at("i").to_number<std::uint64_t>(),
            .text = boost::json::value_to<std::string>(object.at("t")) };
    }

}

BackendEventParser::BackendEventParser(std::uint64_t firstIndex)
    : m_nextIndex(firstIndex)
{
}

std::vector<BackendEvent> BackendEventParser::feed(std::string_view chunk)
{
    m_partialLine += chunk;
    std::vector<BackendEvent> events;
    std::size_t begin = 0;
    for (std::size_t end = m_partialLine.find('\n'); end != std::string::npos;
         end = m_partialLine.find('\n', begin)) {
        const std::string_view line = std::string_view(m_partialLine).substr(begin, end - begin);
        if (line.starts_with(dataPrefix))
            events.push_back(parse(line.substr(dataPrefix.size())));
        begin = end + 1;
    }
    m_partialLine.erase(0, begin);
    if (m_partialLine.size() > lineLimitBytes)
        throw BackendEventError("event line is longer than 1 MiB");
    return events;
}

BackendEvent BackendEventParser::parse(std::string_view json)
{
    BackendEvent event;
    try {
        event = parseEvent(boost::json::parse(json).as_object());
    } catch (const std::exception& error) {
        throw BackendEventError(std::string("malformed event: ") + error.what());
    }
    if (const auto* token = std::get_if<BackendToken>(&event)) {
        if (token->index != m_nextIndex)
            throw BackendEventError("token index does not follow that of the previous token");
        ++m_nextIndex;
        return event;
    }
    if (std::get<BackendDone>(event).tokens != m_nextIndex)
        throw BackendEventError("token count in the last event does not match the tokens received");
    return event;
}

}
