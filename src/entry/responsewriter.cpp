#include "entry/responsewriter.h"

#include <boost/json.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace Json = boost::json;

namespace {

    constexpr int statusOk = 200;
    constexpr std::int64_t millisecondsPerSecond = 1000;

    Json::object toJson(const Refusal& refusal, const RequestKey& key)
    {
        return {
            { "reason", std::string(refusalReasonName(refusal.reason)) },
            { "ran", std::string(ranStateName(refusal.ran)) },
            { "retry_after_ms", refusal.retryAfter.count() },
            { "detail", refusal.detail },
            { "key", key.value() },
        };
    }

    Json::array toJson(const std::vector<StageCost>& costs)
    {
        Json::array array;
        for (const StageCost& cost : costs)
            array.push_back(Json::object {
                { "stage", cost.stage },
                { "busy_ms", cost.busy.count() },
                { "wasted_ms", cost.wasted.count() },
                { "tokens", cost.tokens },
                { "attempts", cost.attempts },
            });
        return array;
    }

    std::string makeEvent(std::string_view name, const Json::value& data)
    {
        std::string event = "event: ";
        event.append(name).append("\ndata: ").append(Json::serialize(data)).append("\n\n");
        return event;
    }

    // Value of the Retry-After field, in whole seconds, rounded up.
    std::string retryAfterSeconds(Milliseconds time)
    {
        return std::to_string((time.count() + millisecondsPerSecond - 1) / millisecondsPerSecond);
    }

}

ResponseWriter::ResponseWriter(HttpExchange& exchange, const RequestKey& key)
    : m_exchange(exchange)
    , m_key(key)
{
}

Asio::awaitable<void> ResponseWriter::beginResponse()
{
    if (m_exchange.isResponseStarted())
        co_return;
    std::vector<HttpField> fields { { "Cache-Control", "no-store" },
        { "Idempotency-Key", m_key.value() } };
    co_await m_exchange.beginStream(statusOk, "text/event-stream", std::move(fields));
}

Asio::awaitable<void> ResponseWriter::writeToken(const TokenMessage& token)
{
    co_await beginResponse();
    const Json::object data { { "i", token.index }, { "t", token.text } };
    const std::string event = makeEvent("token", data);
    co_await m_exchange.writeChunk(event);
}

Asio::awaitable<void> ResponseWriter::writeCompleted(const CompletedMessage& completed)
{
    co_await beginResponse();
    const Json::object data { { "tokens", completed.tokens }, { "key", m_key.value() },
        { "costs", toJson(completed.costs) } };
    const std::string event = makeEvent("done", data);
    co_await m_exchange.writeChunk(event);
    co_await m_exchange.endStream();
}

Asio::awaitable<void> ResponseWriter::writeRefusal(const Refusal& refusal)
{
    const Json::object data = toJson(refusal, m_key);
    if (m_exchange.isResponseStarted()) {
        const std::string event = makeEvent("refused", data);
        co_await m_exchange.writeChunk(event);
        co_await m_exchange.endStream();
        co_return;
    }
    std::vector<HttpField> fields { { "Idempotency-Key", m_key.value() } };
    if (refusal.retryAfter.count() > 0)
        fields.push_back({ "Retry-After", retryAfterSeconds(refusal.retryAfter) });
    std::string body = Json::serialize(Json::object { { "refusal", data } });
    co_await m_exchange.respond(
        httpStatusOf(refusal.reason), "application/json", std::move(body), std::move(fields));
}

}
