#include "load/directrunner.h"

#include "load/loadrunner.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr int statusOk = 200;
    constexpr Milliseconds callTimeout { 10000 };

}

DirectRunner::DirectRunner(Asio::io_context& context, DirectOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_client(makeClient(context, m_options.server))
{
}

std::vector<RequestResult> DirectRunner::run()
{
    for (int worker = 0; worker < m_options.concurrency; ++worker)
        Asio::co_spawn(m_context, runCalls(), Asio::detached);
    m_context.run();
    return std::move(m_results);
}

Asio::awaitable<void> DirectRunner::runCalls()
{
    while (m_nextNumber < m_options.requests) {
        const std::size_t number = m_nextNumber++;
        try {
            co_await callOnce(number);
        } catch (const std::exception&) {
            m_results.push_back({ .outcome = RequestOutcome::Failed, .sends = 1 });
        }
    }
}

Asio::awaitable<void> DirectRunner::callOnce(std::size_t number)
{
    const boost::json::object body { { "stage", m_options.stage },
        { "input", "direct request " + std::to_string(number) },
        { "max_tokens", m_options.maxTokens }, { "resume_from", 0 }, { "priority", 1 } };
    HttpCall call { .method = "POST", .target = "/run" };
    call.fields = { { "X-Attempt", "direct-" + std::to_string(number) + "/0/0/load" } };
    call.body = boost::json::serialize(body);
    call.timeout = callTimeout;
    const TimePoint start = RuntimeClock::now();
    RequestResult result { .outcome = RequestOutcome::Failed, .sends = 1 };
    const std::unique_ptr<HttpStream> stream = co_await m_client->open(std::move(call));
    while (co_await stream->read()) {
        if (result.firstTokenDelay == Duration::zero())
            result.firstTokenDelay = RuntimeClock::now() - start;
    }
    result.latency = RuntimeClock::now() - start;
    if (stream->status() == statusOk)
        result.outcome = RequestOutcome::InTime;
    m_results.push_back(std::move(result));
}

}
