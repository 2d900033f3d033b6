#include "load/loadrunner.h"

#include "load/responsereader.h"

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
        Milliseconds remaining, Milliseconds gracePeriod)
    {
        const boost::json::object body { { "input", input }, { "deadline_ms", remaining.count() } };
        HttpCall call { .method = "POST" };
        call.target = "/v1/pipelines/" + entry.name.value() + "/requests";
        call.fields = { { "Idempotency-Key", key }, { "Content-Type", "application/json" } };
        call.body = boost::json::serialize(body);
        call.timeout = remaining + gracePeriod;
        return call;
    }

    // Records the delay of the first token and the times between tokens.
    void recordTokens(RequestResult& result, int tokenCount,
        TimePoint plannedStart, TimePoint& lastTokenTime)
    {
        const TimePoint now = RuntimeClock::now();
        for (int token = 0; token < tokenCount; ++token) {
            if (result.firstTokenDelay == Duration::zero())
                result.firstTokenDelay = now - plannedStart;
            else
                result.tokenGaps.push_back(now - lastTokenTime);
            lastTokenTime = now;
        }
    }

    void recordRefusal(RequestResult& result, const ReceivedRefusal& refusal)
    {
        result.outcome = RequestOutcome::Refused;
        result.refusalReason = refusal.reason;
        result.ran = refusal.ran;
    }

    RequestOutcome classifyResponse(const ResponseReader& reader, const CatalogueEntry& entry,
        const std::string& input, bool isInTime)
    {
        if (!reader.isComplete())
            return RequestOutcome::Lost;
        if (reader.tokens() != expectedTokens(entry, input))
            return RequestOutcome::Wrong;
        return isInTime ? RequestOutcome::InTime : RequestOutcome::Late;
    }

}

std::unique_ptr<HttpClient> makeClient(Asio::io_context& context, const std::string& endpoint)
{
    const std::size_t colon = endpoint.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("invalid endpoint, expected ADDRESS:PORT: " + endpoint);
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
    for (const std::string& endpoint : m_options.entryHosts)
        m_clients.push_back(makeClient(context, endpoint));
    if (m_clients.empty())
        throw std::runtime_error("no entry host given, expected at least one");
}

std::vector<RequestResult> LoadRunner::run(const std::vector<PlannedRequest>& plan)
{
    m_results.assign(plan.size(), {});
    m_start = RuntimeClock::now();
    for (std::size_t index = 0; index < plan.size(); ++index)
        Asio::co_spawn(m_context, sendPlanned(plan[index], index), Asio::detached);
    m_context.run();
    return std::move(m_results);
}

Asio::awaitable<void> LoadRunner::sendPlanned(const PlannedRequest& planned, std::size_t index)
{
    RequestResult& result = m_results[index];
    result.itemIndex = planned.itemIndex;
    result.plannedAt = planned.arrival;
    const TimePoint plannedStart = m_start + planned.arrival;
    co_await sleepFor(m_context.get_executor(), plannedStart - RuntimeClock::now());
    const std::string key = makeRequestKey().value();
    const Milliseconds deadline = m_workload.items[planned.itemIndex].entry.deadline;
    while (true) {
        const Milliseconds retryAfter = co_await sendOnce(planned, key, plannedStart, result);
        result.latency = RuntimeClock::now() - plannedStart;
        const bool mayRetry = m_options.retriesRefusedRequests
            && result.outcome == RequestOutcome::Refused && retryAfter > Milliseconds(0)
            && result.latency + retryAfter < deadline;
        if (!mayRetry)
            co_return;
        co_await sleepFor(m_context.get_executor(), retryAfter);
    }
}

Asio::awaitable<Milliseconds> LoadRunner::sendOnce(const PlannedRequest& planned,
    const std::string& key, TimePoint plannedStart, RequestResult& result)
{
    const CatalogueEntry& entry = m_workload.items[planned.itemIndex].entry;
    const Duration remaining = entry.deadline - (RuntimeClock::now() - plannedStart);
    const auto remainingMilliseconds = std::max(
        Milliseconds(1), std::chrono::duration_cast<Milliseconds>(remaining));
    const TimePoint sentAt = RuntimeClock::now();
    ++result.sends;
    ResponseReader reader;
    TimePoint lastTokenTime {};
    Milliseconds retryAfter { 0 };
    try {
        HttpCall call = makeCall(
            entry, planned.input, key, remainingMilliseconds, m_options.gracePeriod);
        const std::unique_ptr<HttpStream> stream = co_await nextClient().open(std::move(call));
        std::string body;
        while (std::optional<std::string> chunk = co_await stream->read()) {
            if (stream->status() == statusOk)
                recordTokens(result, reader.feed(*chunk), plannedStart, lastTokenTime);
            else
                body += *chunk;
        }
        std::optional<ReceivedRefusal> refusal = reader.refusal();
        if (stream->status() != statusOk)
            refusal = parseRefusal(body);
        if (refusal) {
            recordRefusal(result, *refusal);
            result.refusalTimes.push_back(RuntimeClock::now() - sentAt);
            retryAfter = refusal->retryAfter;
        } else {
            const bool isInTime = RuntimeClock::now() - plannedStart <= entry.deadline;
            result.outcome = classifyResponse(reader, entry, planned.input, isInTime);
        }
    } catch (const std::exception&) {
        result.outcome = reader.tokens().empty() ? RequestOutcome::Failed : RequestOutcome::Lost;
    }
    result.duplicateTokens += reader.duplicateCount();
    result.costs = reader.costs();
    co_return retryAfter;
}

}
