#include "load/responsereader.h"

#include "emulator/backend/responsetokens.h"
#include "libapricot/cataloguejson.h"

#include <boost/json/parse.hpp>

namespace Apricot {

namespace {

    constexpr std::string_view eventSeparator = "\n\n";

    // Value of the named field in an event; empty if the event has no such field.
    std::string_view fieldValue(std::string_view event, std::string_view name)
    {
        std::size_t start = 0;
        while (start < event.size()) {
            const std::size_t end = std::min(event.find('\n', start), event.size());
            const std::string_view line = event.substr(start, end - start);
            if (line.substr(0, name.size()) == name)
                return line.substr(name.size());
            start = end + 1;
        }
        return {};
    }

    boost::json::value parseJson(std::string_view data)
    {
        return boost::json::parse(boost::json::string_view(data.data(), data.size()));
    }

    std::string stringValue(const boost::json::value& value)
    {
        return std::string(value.as_string());
    }

    ReceivedRefusal refusalFromJson(const boost::json::value& value)
    {
        return { .reason = stringValue(value.at("reason")),
            .ran = stringValue(value.at("ran")),
            .retryAfter = Milliseconds(value.at("retry_after_ms").to_number<std::int64_t>()) };
    }

}

int ResponseReader::feed(std::string_view chunk)
{
    const std::size_t previousCount = m_tokens.size();
    m_buffer += chunk;
    for (std::size_t end = m_buffer.find(eventSeparator); end != std::string::npos;
         end = m_buffer.find(eventSeparator)) {
        handleEvent(std::string_view(m_buffer).substr(0, end));
        m_buffer.erase(0, end + eventSeparator.size());
    }
    return static_cast<int>(m_tokens.size() - previousCount);
}

void ResponseReader::handleEvent(std::string_view event)
{
    const std::string_view name = fieldValue(event, "event: ");
    const std::string_view data = fieldValue(event, "data: ");
    if (name == "token")
        handleToken(data);
    else if (name == "done")
        handleDone(data);
    else if (name == "refused")
        m_refusal = refusalFromJson(parseJson(data));
}

void ResponseReader::handleToken(std::string_view data)
{
    const boost::json::value token = parseJson(data);
    const auto index = token.at("i").to_number<std::size_t>();
    if (index < m_tokens.size()) {
        ++m_duplicateCount;
        return;
    }
    if (index > m_tokens.size())
        ++m_gapCount;
    m_tokens.push_back(stringValue(token.at("t")));
}

void ResponseReader::handleDone(std::string_view data)
{
    const boost::json::value done = parseJson(data);
    m_done = true;
    if (done.at("tokens").to_number<std::size_t>() != m_tokens.size())
        ++m_gapCount;
    for (const boost::json::value& cost : done.at("costs").as_array())
        m_costs.push_back({ .stage = stringValue(cost.at("stage")),
            .busy = Milliseconds(cost.at("busy_ms").to_number<std::int64_t>()),
            .wasted = Milliseconds(cost.at("wasted_ms").to_number<std::int64_t>()),
            .tokens = cost.at("tokens").to_number<std::uint64_t>(),
            .attempts = cost.at("attempts").to_number<int>() });
}

ReceivedRefusal parseRefusal(std::string_view json)
{
    return refusalFromJson(parseJson(json).at("refusal"));
}

std::vector<std::string> expectedTokens(const CatalogueEntry& entry, const std::string& input)
{
    std::string stageInput = input;
    std::vector<std::string> tokens;
    for (const StageSpec& stage : entry.stages) {
        const ResponseParameters parameters { .stage = std::string(stageKindName(stage.kind)),
            .input = stageInput,
            .maxTokens = stage.maxTokens };
        tokens.clear();
        stageInput.clear();
        for (std::uint64_t index = 0; index < responseTokenCount(parameters); ++index) {
            tokens.push_back(responseToken(parameters, index));
            stageInput += tokens.back();
        }
    }
    return tokens;
}

}
