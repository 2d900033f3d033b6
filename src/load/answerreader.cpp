#include "load/answerreader.h"

#include "emulator/backend/answertext.h"
#include "libapricot/cataloguejson.h"

#include <boost/json/parse.hpp>

namespace Apricot {

namespace {

    constexpr std::string_view eventEnd = "\n\n";

    // Text after a field's name in an event, or nothing.
    std::string_view lineOf(std::string_view event, std::string_view name)
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

    boost::json::value parseData(std::string_view data)
    {
        return boost::json::parse(boost::json::string_view(data.data(), data.size()));
    }

    std::string textOf(const boost::json::value& value)
    {
        return std::string(value.as_string());
    }

    RefusalSeen refusalFrom(const boost::json::value& value)
    {
        return { .reason = textOf(value.at("reason")),
            .ran = textOf(value.at("ran")),
            .retryAfter = Milliseconds(value.at("retry_after_ms").to_number<std::int64_t>()) };
    }

}

int AnswerReader::feed(std::string_view piece)
{
    const std::size_t before = m_tokens.size();
    m_pending += piece;
    for (std::size_t end = m_pending.find(eventEnd); end != std::string::npos;
         end = m_pending.find(eventEnd)) {
        takeEvent(std::string_view(m_pending).substr(0, end));
        m_pending.erase(0, end + eventEnd.size());
    }
    return static_cast<int>(m_tokens.size() - before);
}

void AnswerReader::takeEvent(std::string_view event)
{
    const std::string_view name = lineOf(event, "event: ");
    const std::string_view data = lineOf(event, "data: ");
    if (name == "token")
        takeToken(data);
    else if (name == "done")
        takeDone(data);
    else if (name == "refused")
        m_refusal = refusalFrom(parseData(data));
}

void AnswerReader::takeToken(std::string_view data)
{
    const boost::json::value token = parseData(data);
    const auto index = token.at("i").to_number<std::size_t>();
    if (index < m_tokens.size()) {
        ++m_doubled;
        return;
    }
    if (index > m_tokens.size())
        ++m_gaps;
    m_tokens.push_back(textOf(token.at("t")));
}

void AnswerReader::takeDone(std::string_view data)
{
    const boost::json::value done = parseData(data);
    m_done = true;
    if (done.at("tokens").to_number<std::size_t>() != m_tokens.size())
        ++m_gaps;
    for (const boost::json::value& cost : done.at("costs").as_array())
        m_costs.push_back({ .stage = textOf(cost.at("stage")),
            .busy = Milliseconds(cost.at("busy_ms").to_number<std::int64_t>()),
            .wasted = Milliseconds(cost.at("wasted_ms").to_number<std::int64_t>()),
            .tokens = cost.at("tokens").to_number<std::uint64_t>(),
            .attempts = cost.at("attempts").to_number<int>() });
}

RefusalSeen parseRefusal(std::string_view json)
{
    return refusalFrom(parseData(json).at("refusal"));
}

std::vector<std::string> expectedAnswer(const CatalogueEntry& entry, const std::string& input)
{
    std::string stageInput = input;
    std::vector<std::string> tokens;
    for (const StageSpec& stage : entry.stages) {
        const AnswerSource source { .stage = std::string(stageKindName(stage.kind)),
            .input = stageInput,
            .maxTokens = stage.maxTokens };
        tokens.clear();
        stageInput.clear();
        for (std::uint64_t index = 0; index < answerLength(source); ++index) {
            tokens.push_back(answerToken(source, index));
            stageInput += tokens.back();
        }
    }
    return tokens;
}

}
