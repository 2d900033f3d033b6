#include "gateway/streamforwarder.h"

#include "platform/requesttranslation.h"

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr int statusConflict = 409;
    // Times that the stages of one request are run.
    constexpr int stageRounds = 2;
    constexpr int statusClass = 100;
    constexpr int successClass = 2;
    // Engines that may refuse or be unreachable for one request.
    constexpr std::size_t engineLimit = 5;
    // When engines are full, one has room again within some requests' time.
    constexpr Milliseconds fullRetry { 300 };
    // Least time to come back in after stages failed.
    constexpr Milliseconds failedRetry { 200 };

    GatewayRefusal reasonOf(StageWorkOutcome end)
    {
        switch (end) {
        case StageWorkOutcome::Overloaded:
            return GatewayRefusal::Overloaded;
        case StageWorkOutcome::Late:
            return GatewayRefusal::OutOfTime;
        default:
            return GatewayRefusal::NoServer;
        }
    }

}

StreamForwarder::StreamForwarder(ServingView& view, BackendCaller& caller, RetryWindow& retries,
    ColdLimiter& coldLimiter, StageRunner& stages)
    : m_view(view)
    , m_caller(caller)
    , m_retries(retries)
    , m_coldLimiter(coldLimiter)
    , m_stages(stages)
{
}

Asio::awaitable<ServedEnd> StreamForwarder::serve(ServedRequest& request)
{
    Relay relay;
    m_retries.recordRequest(request.pool, RuntimeClock::now());
    for (int round = 0; round < stageRounds; ++round) {
        relay.needsInputs = false;
        co_await runStages(request, relay);
        if (relay.stages.end == StageWorkOutcome::Done && !request.scope->isOver())
            co_await sendToEngines(request, relay);
        m_stages.release(std::exchange(relay.stages.results, {}));
        if (!relay.needsInputs || request.scope->isOver())
            break;
    }
    if (relay.end.status == 0 && request.scope->ended() != ScopeEnd::CallerGone)
        co_await giveUp(request, relay);
    co_return relay.end;
}

Asio::awaitable<void> StreamForwarder::runStages(ServedRequest& request, Relay& relay)
{
    if (request.route.stages.empty())
        co_return;
    // A caller that has part of the stream waits for the next event as long as for the first one.
    if (relay.hasBegun)
        request.firstEventBy = std::min(
            request.deadlineAt, RuntimeClock::now() + request.route.firstEventTimeout());
    relay.stages = co_await m_stages.run(
        request, m_firstEventEstimator.expected(request.caller.promptTokens), likelyDomain(request));
}

Asio::awaitable<void> StreamForwarder::sendToEngines(ServedRequest& request, Relay& relay)
{
    while (!request.scope->isOver() && relay.tried.size() < engineLimit) {
        const KnownServer* known = choose(request, relay);
        if (!known)
            co_return;
        const bool isRepeat = relay.end.sends > 0;
        const TimePoint sentAt = RuntimeClock::now();
        if (isRepeat && !m_retries.tryAcquireRetry(request.pool, sentAt))
            co_return;
        const ServerEntry engine = known->server;
        relay.tried.insert(engine.id);
        promptSent(request, relay, engine.id);
        SendResult sent = co_await m_caller.send(request, engine, relay.stages.inputs,
            relay.events.lastId(), std::max(request.timeLeft(sentAt), Milliseconds(1)));
        if (sent.end != SendEnd::NotSent) {
            ++relay.end.sends;
            relay.end.server = engine.id;
        }
        if (sent.end == SendEnd::Answered) {
            ++relay.runs;
            if (co_await pass(request, relay, *sent.stream, engine.id, sentAt)) {
                promptEnded(request, relay, engine.id);
                co_return;
            }
        }
        promptEnded(request, relay, engine.id);
        if (sent.end == SendEnd::NotRun && sent.status == statusConflict) {
            relay.needsInputs = true;
            relay.tried.erase(engine.id);
            co_return;
        }
        if (sent.end == SendEnd::NotSent || sent.end == SendEnd::NotRun)
            continue;
        if (sent.end != SendEnd::Answered)
            ++relay.runs;
        m_placement.onMemoryLost(engine.id);
        if (!request.route.isRetryable() || relay.runs >= request.route.attemptLimit)
            co_return;
        relay.events.discardPartialEvent();
        if (relay.hasBegun && !request.route.stages.empty()) {
            relay.needsInputs = true;
            co_return;
        }
    }
}

FailureDomainId StreamForwarder::likelyDomain(const ServedRequest& request) const
{
    const TimePoint now = RuntimeClock::now();
    const auto engines = m_placement.rank(request.caller,
        m_view.servers().usable(request.pool, now), {}, m_caller.tracker(), now);
    return engines.empty() ? FailureDomainId() : engines.front()->server.domain;
}

const KnownServer* StreamForwarder::choose(const ServedRequest& request, const Relay& relay)
{
    const TimePoint now = RuntimeClock::now();
    const Pool* pool = request.config->findPool(request.pool);
    const auto engines = m_placement.rank(request.caller,
        m_view.servers().usable(request.pool, now), relay.stages.inputBytes, m_caller.tracker(), now);
    for (const KnownServer* engine : engines) {
        if (relay.tried.contains(engine->server.id))
            continue;
        if (engine->isCold(now)
            && !m_coldLimiter.tryAcquire(engine->server.id, pool ? pool->coldRate : 0, now))
            continue;
        return engine;
    }
    return nullptr;
}

Asio::awaitable<bool> StreamForwarder::pass(ServedRequest& request, Relay& relay,
    HttpStream& stream, BackendServerId engine, TimePoint sentAt)
{
    stream.setTimeout(std::max(request.timeLeft(RuntimeClock::now()), Milliseconds(1)));
    const bool isSuccess = stream.status() / statusClass == successClass;
    if (isSuccess)
        co_return co_await passEvents(request, relay, stream, engine, sentAt);
    // A failure of the engine's own; one within a stream that has begun can't be told any more.
    std::string body;
    try {
        body = co_await readBody(stream);
    } catch (const boost::system::system_error&) {
        co_return false;
    }
    if (relay.hasBegun)
        co_return false;
    relay.end.status = stream.status();
    co_await request.exchange.respond(
        stream.status(), "", std::move(body), Platform::callerFields(stream.head()));
    co_return true;
}

Asio::awaitable<bool> StreamForwarder::passEvents(ServedRequest& request, Relay& relay,
    HttpStream& stream, BackendServerId engine, TimePoint sentAt)
{
    HttpExchange& exchange = request.exchange;
    bool isFirst = true;
    while (true) {
        std::optional<std::string> data;
        try {
            data = co_await stream.read();
        } catch (const boost::system::system_error&) {
            co_return false;
        }
        // What follows the last whole event of a stream that ended is part of the answer too.
        const std::string events = data ? relay.events.feed(*data) : relay.events.partialEvent();
        if (!relay.hasBegun && (!events.empty() || !data)) {
            relay.hasBegun = true;
            co_await exchange.beginStream(
                stream.status(), "", Platform::callerFields(stream.head()));
        }
        if (isFirst && !events.empty()) {
            isFirst = false;
            m_firstEventEstimator.recordFirstEvent(request.caller.promptTokens, RuntimeClock::now() - sentAt);
            promptEnded(request, relay, engine);
            // The engine has read them. A stream that goes on elsewhere has them made again: room is
            // scarcer than engines fail.
            m_stages.release(std::exchange(relay.stages.results, {}));
        }
        co_await exchange.writeChunk(events);
        if (data)
            continue;
        co_await exchange.endStream();
        relay.end.status = stream.status();
        co_return true;
    }
}

void StreamForwarder::promptSent(
    ServedRequest& request, Relay& relay, const BackendServerId& engine)
{
    const Pool* pool = request.config->findPool(request.pool);
    relay.isPromptPending = true;
    m_placement.onSent(
        request.caller, engine, pool && pool->engine ? pool->engine->memoryTokens : 0);
}

void StreamForwarder::promptEnded(
    ServedRequest& request, Relay& relay, const BackendServerId& engine)
{
    if (std::exchange(relay.isPromptPending, false))
        m_placement.onPromptRead(request.caller, engine);
}

Asio::awaitable<void> StreamForwarder::giveUp(ServedRequest& request, Relay& relay)
{
    if (relay.hasBegun) {
        // A stream that broke off must not look complete.
        request.exchange.abort();
        relay.end.refusal = "cut";
        co_return;
    }
    GatewayRefusal reason = GatewayRefusal::NoServer;
    std::optional<Milliseconds> retryAfter;
    const bool isTimeout = request.scope->ended() == ScopeEnd::TimedOut;
    if (relay.runs > 0) {
        reason = isTimeout ? GatewayRefusal::TimedOut : GatewayRefusal::ServerFailed;
    } else if (relay.stages.end != StageWorkOutcome::Done) {
        reason = reasonOf(relay.stages.end);
        retryAfter = std::max(relay.stages.retryAfter, failedRetry);
    } else {
        reason = relay.end.sends > 0 ? GatewayRefusal::Overloaded : GatewayRefusal::NoServer;
        retryAfter = fullRetry;
    }
    if (isTimeout && relay.runs == 0) {
        reason = GatewayRefusal::OutOfTime;
        retryAfter.reset();
    }
    if (request.scope->ended() == ScopeEnd::Stopping) {
        reason = GatewayRefusal::NotReady;
        retryAfter = Milliseconds(0);
    }
    relay.end.status = refusalStatus(reason);
    relay.end.refusal = refusalName(reason);
    co_await refuse(request.exchange, reason, retryAfter);
}

}
