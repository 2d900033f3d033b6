#include "backendemulator.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <cstdlib>
#include <unistd.h>
#include <utility>

namespace Apricot {

namespace {

    constexpr const char* jsonType = "application/json";
    constexpr const char* eventStreamType = "text/event-stream";
    // Maximum interval between two checks for cancellation of a run.
    constexpr Duration maxSlice = Milliseconds(20);
    constexpr int crashExitCode = 3;

    std::string stringField(const boost::json::object& object, const char* name)
    {
        const boost::json::value* value = object.if_contains(name);
        return value && value->is_string() ? std::string(value->as_string()) : std::string();
    }

    std::uint64_t numberField(const boost::json::object& object, const char* name)
    {
        const boost::json::value* value = object.if_contains(name);
        return value ? value->to_number<std::uint64_t>() : 0;
    }

    std::string formatEvent(const boost::json::object& event)
    {
        return "data: " + boost::json::serialize(event) + "\n\n";
    }

    // These functions build JSON values outside the coroutines because g++ 12 doesn't compile
    // initializer lists of JSON values inside a coroutine.
    std::string tokenEvent(std::uint64_t index, std::string token)
    {
        return formatEvent({ { "i", index }, { "t", std::move(token) } });
    }

    std::string doneEvent(std::uint64_t tokens, Duration busy)
    {
        return formatEvent({ { "done", true }, { "tokens", tokens },
            { "busy_ms", std::chrono::duration_cast<Milliseconds>(busy).count() } });
    }

    boost::json::value errorJson(std::string error)
    {
        return boost::json::object { { "error", std::move(error) } };
    }

    boost::json::value boolJson(const char* name, bool flag)
    {
        return boost::json::object { { name, flag } };
    }

    boost::json::object orderEvent(const std::string& order, std::uint64_t fence, bool obeyed)
    {
        return { { "order", order }, { "fence", fence }, { "obeyed", obeyed } };
    }

    boost::json::object namedEvent(const char* name, const boost::json::value& value)
    {
        return { { name, value } };
    }

}

BackendEmulator::BackendEmulator(BackendEmulatorOptions options)
    : m_options(std::move(options))
    , m_engine(m_options.engine)
    , m_orderHandler(m_options.checksOrders)
    , m_runLog(m_options.logFile)
{
}

boost::asio::awaitable<void> BackendEmulator::handle(HttpExchange& exchange)
{
    const std::string& path = exchange.request().path;
    std::string error;
    try {
        if (path == "/run")
            co_return co_await handleRun(exchange);
        if (path == "/orders")
            co_return co_await handleOrder(exchange);
        if (path == "/faults")
            co_return co_await handleFaults(exchange);
        if (path == "/health")
            co_return co_await respondJson(exchange, 200, healthJson());
        if (path == "/counts")
            co_return co_await respondJson(exchange, 200, countsJson());
        if (path == "/log")
            co_return co_await respondJson(exchange, 200, m_runLog.toJson());
        error = "no such path";
    } catch (const boost::system::system_error&) {
        // The caller disconnected, or the JSON can't be parsed.
        if (exchange.isResponseStarted() || exchange.isPeerDisconnected())
            throw;
        error = "malformed request";
    }
    co_await respondJson(exchange, 400, errorJson(error));
}

BackendEmulator::ActiveRun BackendEmulator::parseRun(const HttpRequest& request) const
{
    const boost::json::value parsed = boost::json::parse(request.body);
    const boost::json::object& body = parsed.as_object();
    ActiveRun run { .incarnation = m_engine.incarnation(),
        .parameters = { .stage = stringField(body, "stage"),
            .input = stringField(body, "input"),
            .maxTokens = static_cast<int>(numberField(body, "max_tokens")) },
        .resumeFrom = numberField(body, "resume_from") };
    if (run.parameters.stage.empty())
        run.parameters.stage = m_options.kind;
    return run;
}

boost::asio::awaitable<void> BackendEmulator::handleRun(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    ActiveRun run = parseRun(request);
    if (m_rejectsRuns)
        co_return co_await respondJson(
            exchange, 503, errorJson("refusing"));
    run.number = m_runLog.beginRun(
        std::string(request.field("X-Attempt")), run.parameters.stage, run.parameters.input);
    switch (m_engine.start(run.number)) {
    case EngineAdmission::Started:
        break;
    case EngineAdmission::Refused:
        m_runLog.endRun(run.number, RunOutcome::Refused);
        co_return co_await respondJson(exchange, 503, errorJson("full"));
    case EngineAdmission::Crashed:
        crash("cold overload");
        co_return exchange.abort();
    }
    if (!m_poisonText.empty() && run.parameters.input.find(m_poisonText) != std::string::npos) {
        crash("poison");
        co_return exchange.abort();
    }
    try {
        co_await streamResponse(exchange, run);
    } catch (const std::exception&) {
        // The caller closed its connection, which cancels the run.
        if (m_engine.incarnation() == run.incarnation)
            m_engine.cancel(run.number);
        m_runLog.endRun(run.number, RunOutcome::Cancelled);
        throw;
    }
}

boost::asio::awaitable<void> BackendEmulator::streamResponse(HttpExchange& exchange, ActiveRun& run)
{
    bool isActive = co_await simulateWork(
        exchange, run, m_engine.beginPrefill(run.parameters.input));
    if (isActive)
        co_await exchange.beginStream(200, eventStreamType);
    const std::uint64_t length = responseTokenCount(run.parameters);
    for (std::uint64_t index = run.resumeFrom; isActive && index < length; ++index) {
        isActive = co_await simulateWork(exchange, run, m_engine.stepTime());
        if (!isActive)
            break;
        m_engine.markColdStartObservable();
        co_await exchange.writeChunk(tokenEvent(index, responseToken(run.parameters, index)));
    }
    if (!isActive || isInterrupted(exchange, run)) {
        if (m_engine.incarnation() == run.incarnation)
            m_engine.cancel(run.number);
        m_runLog.endRun(run.number, RunOutcome::Cancelled);
        exchange.abort();
        co_return;
    }
    m_engine.finish(run.number, run.busy);
    m_runLog.endRun(run.number, RunOutcome::Finished);
    co_await exchange.writeChunk(doneEvent(length, run.busy));
    co_await exchange.endStream();
}

boost::asio::awaitable<bool> BackendEmulator::simulateWork(
    HttpExchange& exchange, ActiveRun& run, Duration time)
{
    boost::asio::basic_waitable_timer<RuntimeClock> timer(
        co_await boost::asio::this_coro::executor);
    while (time > Duration::zero() || m_stalled) {
        const Duration slice = m_stalled ? maxSlice : std::min(time, maxSlice);
        timer.expires_after(slice);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (isInterrupted(exchange, run))
            co_return false;
        run.busy += slice;
        time -= slice;
    }
    co_return !isInterrupted(exchange, run);
}

boost::asio::awaitable<void> BackendEmulator::handleOrder(HttpExchange& exchange)
{
    const boost::json::value parsed = boost::json::parse(exchange.request().body);
    const boost::json::object& body = parsed.as_object();
    const std::string order = stringField(body, "order");
    const std::uint64_t fence = numberField(body, "fence");
    const bool obeyed = m_orderHandler.handle(order, fence);
    m_runLog.recordEvent(orderEvent(order, fence, obeyed));
    co_await respondJson(
        exchange, obeyed ? 200 : 409, boolJson("obeyed", obeyed));
}

boost::asio::awaitable<void> BackendEmulator::handleFaults(HttpExchange& exchange)
{
    const boost::json::value parsed = boost::json::parse(exchange.request().body);
    const boost::json::object& faults = parsed.as_object();
    m_runLog.recordEvent(namedEvent("faults", faults));
    applyFaults(faults);
    co_await respondJson(exchange, 200, boolJson("applied", true));
    const boost::json::value* crashFlag = faults.if_contains("crash");
    if (crashFlag && crashFlag->as_bool())
        crash("fault");
}

boost::asio::awaitable<void> BackendEmulator::respondJson(
    HttpExchange& exchange, int status, const boost::json::value& body)
{
    co_await exchange.respond(status, jsonType, boost::json::serialize(body));
}

void BackendEmulator::applyFaults(const boost::json::object& faults)
{
    if (const auto* stall = faults.if_contains("stall"))
        m_stalled = stall->as_bool();
    if (const auto* refuse = faults.if_contains("refuse"))
        m_rejectsRuns = refuse->as_bool();
    if (const auto* factor = faults.if_contains("straggle_factor"))
        m_engine.setSlowdownFactor(factor->to_number<double>());
    if (faults.contains("poison"))
        m_poisonText = stringField(faults, "poison");
    const auto* coldFlag = faults.if_contains("go_cold");
    if (coldFlag && coldFlag->as_bool())
        m_engine.resetToCold();
}

void BackendEmulator::crash(const char* cause)
{
    m_runLog.recordEvent(namedEvent("crash", cause));
    m_runLog.endAllRuns(RunOutcome::Crashed);
    if (m_options.crashMode == CrashMode::Exit)
        _exit(crashExitCode);
    ++m_restarts;
    m_engine.restart(m_options.engine.incarnation + "." + std::to_string(m_restarts));
}

bool BackendEmulator::isInterrupted(const HttpExchange& exchange, const ActiveRun& run) const
{
    return exchange.isPeerDisconnected() || m_engine.incarnation() != run.incarnation;
}

boost::json::value BackendEmulator::healthJson()
{
    const EngineHealth health = m_engine.health(RuntimeClock::now());
    return boost::json::object { { "incarnation", health.incarnation },
        { "in_flight", health.inFlight }, { "completed", health.completed } };
}

boost::json::value BackendEmulator::countsJson() const
{
    const EngineCounts counts = m_engine.counts();
    return boost::json::object { { "id", m_options.id }, { "kind", m_options.kind },
        { "incarnation", m_engine.incarnation() }, { "cold", m_engine.isCold() },
        { "in_flight", counts.inFlight }, { "peak_in_flight", counts.peakInFlight },
        { "peak_in_flight_cold", counts.peakInFlightCold },
        { "cold_violations", counts.coldViolations },
        { "cold_violations_unnoticed", counts.coldViolationsUnnoticed }, { "runs", counts.runs },
        { "completed", counts.completed }, { "cancelled", counts.cancelled },
        { "refused", counts.refused }, { "crashes", counts.crashes },
        { "orders", m_orderHandler.orders().size() },
        { "orders_refused", m_orderHandler.refusedCount() },
        { "orders_stale_obeyed", m_orderHandler.staleObeyedCount() } };
}

}
