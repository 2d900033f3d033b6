#include "load/loadrunner.h"

#include "load/answerreader.h"

#include "libnet/asyncevent.h"
#include "libnet/requestkey.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr int statusOk = 200;
    constexpr std::size_t idleConnections = 512;

    HttpCall makeCall(const CatalogueEntry& entry, const std::string& input, const std::string& key,
        Milliseconds left, Milliseconds grace)
    {
        const boost::json::object body { { "input", input }, { "deadline_ms", left.count() } };
        HttpCall call { .method = "POST" };
        call.target = "/v1/pipelines/" + entry.name.value() + "/requests";
        call.fields = { { "Idempotency-Key", key }, { "Content-Type", "application/json" } };
        call.body = boost::json::serialize(body);
        call.timeout = left + grace;
        return call;
    }

    // Takes over tokens with the times between them.
    void noteTokens(RequestResult& result, int tokens, TimePoint start, TimePoint& last)
    {
        const TimePoint now = RuntimeClock::now();
        for (int token = 0; token < tokens; ++token) {
            if (result.firstToken == Duration::zero())
                result.firstToken = now - start;
            else
                result.tokenGaps.push_back(now - last);
            last = now;
        }
    }

    void noteRefusal(RequestResult& result, const RefusalSeen& refusal)
    {
        result.end = RequestEnd::Refused;
        result.refusalReason = refusal.reason;
        result.ran = refusal.ran;
    }

    RequestEnd endOf(const AnswerReader& reader, const CatalogueEntry& entry,
        const std::string& input, bool isInTime)
    {
        if (!reader.isWhole())
            return RequestEnd::Lost;
        if (reader.tokens() != expectedAnswer(entry, input))
            return RequestEnd::Wrong;
        return isInTime ? RequestEnd::InTime : RequestEnd::Late;
    }

}

std::unique_ptr<HttpClient> makeClient(Asio::io_context& context, const std::string& endpoint)
{
    const std::size_t colon = endpoint.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("not ADDRESS:PORT: " + endpoint);
    return std::make_unique<HttpClient>(context,
        HttpClientOptions { .address = endpoint.substr(0, colon),
            .port = static_cast<std::uint16_t>(std::stoi(endpoint.substr(colon + 1))),
            .idleConnections = idleConnections });
}

LoadRunner::LoadRunner(
    Asio::io_context& context, const Workload& workload, LoadRunnerOptions options)
    : m_context(context)
    , m_workload(workload)
    , m_options(std::move(options))
{
    for (const std::string& entry : m_options.entries)
        m_clients.push_back(makeClient(context, entry));
    if (m_clients.empty())
        throw std::runtime_error("no entry host given");
}

std::vector<RequestResult> LoadRunner::run(const std::vector<PlannedRequest>& plan)
{
    m_results.assign(plan.size(), {});
    m_start = RuntimeClock::now();
    for (std::size_t number = 0; number < plan.size(); ++number)
        Asio::co_spawn(m_context, sendPlanned(plan[number], number), Asio::detached);
    m_context.run();
    return std::move(m_results);
}

Asio::awaitable<void> LoadRunner::sendPlanned(const PlannedRequest& planned, std::size_t number)
{
    RequestResult& result = m_results[number];
    result.item = planned.item;
    result.plannedAt = planned.at;
    const TimePoint start = m_start + planned.at;
    co_await sleepFor(m_context.get_executor(), start - RuntimeClock::now());
    const std::string key = makeRequestKey().value();
    const Milliseconds deadline = m_workload.items[planned.item].entry.deadline;
    while (true) {
        const Milliseconds retryAfter = co_await sendOnce(planned, key, start, result);
        result.total = RuntimeClock::now() - start;
        const bool mayRetry = m_options.honoursRetryTimes && result.end == RequestEnd::Refused
            && retryAfter > Milliseconds(0) && result.total + retryAfter < deadline;
        if (!mayRetry)
            co_return;
        co_await sleepFor(m_context.get_executor(), retryAfter);
    }
}

Asio::awaitable<Milliseconds> LoadRunner::sendOnce(const PlannedRequest& planned,
    const std::string& key, TimePoint start, RequestResult& result)
{
    const CatalogueEntry& entry = m_workload.items[planned.item].entry;
    const Duration left = entry.deadline - (RuntimeClock::now() - start);
    const auto leftRounded = std::max(
        Milliseconds(1), std::chrono::duration_cast<Milliseconds>(left));
    const TimePoint sent = RuntimeClock::now();
    ++result.sends;
    AnswerReader reader;
    TimePoint last {};
    Milliseconds retryAfter { 0 };
    try {
        HttpCall call = makeCall(entry, planned.input, key, leftRounded, m_options.grace);
        const std::unique_ptr<HttpStream> stream = co_await nextClient().open(std::move(call));
        std::string body;
        while (std::optional<std::string> piece = co_await stream->read()) {
            if (stream->status() == statusOk)
                noteTokens(result, reader.feed(*piece), start, last);
            else
                body += *piece;
        }
        std::optional<RefusalSeen> refusal = reader.refusal();
        if (stream->status() != statusOk)
            refusal = parseRefusal(body);
        if (refusal) {
            noteRefusal(result, *refusal);
            result.refusalTimes.push_back(RuntimeClock::now() - sent);
            retryAfter = refusal->retryAfter;
        } else {
            const bool isInTime = RuntimeClock::now() - start <= entry.deadline;
            result.end = endOf(reader, entry, planned.input, isInTime);
        }
    } catch (const std::exception&) {
        result.end = reader.tokens().empty() ? RequestEnd::Failed : RequestEnd::Lost;
    }
    result.doubled += reader.doubled();
    result.costs = reader.costs();
    co_return retryAfter;
}

}
