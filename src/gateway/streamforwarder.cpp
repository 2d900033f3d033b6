#include "gateway/streamforwarder.h"

#include "libserving/streamend.h"
#include "libserving/streamversion.h"
#include "platform/requesttranslation.h"

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr int statusConflict = 409;
    // Number of times that the stages of one request may run.
    constexpr int maxStageRounds = 2;
    constexpr int statusesPerClass = 100;
    constexpr int successClass = 2;
    constexpr int statusServerError = 500;
    // Fewer events do not show the pace of a stream.
    constexpr Duration::rep minPacedEvents = 3;
    // Number of engines that are tried for one request.
    constexpr std::size_t maxEngines = 5;
    // An event of which more bytes have arrived does not end.
    constexpr std::size_t maxEventBytes = 262'144;
    // A full engine has a free slot again within the processing time of a few requests.
    constexpr Milliseconds fullPoolRetryAfter { 300 };
    // Minimum Retry-After when stages failed.
    constexpr Milliseconds minStageRetryAfter { 200 };

    constexpr const char* unfinishedEventReason = "the stream ended inside an event or before the first";

    GatewayRefusal refusalFor(StageWorkOutcome outcome)
    {
        switch (outcome) {
        case StageWorkOutcome::Overloaded:
            return GatewayRefusal::Overloaded;
        case StageWorkOutcome::Late:
            return GatewayRefusal::OutOfTime;
        case StageWorkOutcome::Poisoned:
            return GatewayRefusal::Poisoned;
        default:
            return GatewayRefusal::NoServer;
        }
    }

}

StreamForwarder::StreamForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries,
    StageRunner& stages, StreamOriginSync& origins, const PoisonTable& poison)
    : m_view(view)
    , m_backendCaller(backendCaller)
    , m_retries(retries)
    , m_stages(stages)
    , m_origins(origins)
    , m_poison(poison)
{
}

Asio::awaitable<ServedOutcome> StreamForwarder::serve(ServedRequest& request)
{
    StreamProgress progress;
    if (!request.caller.lastEventId.empty())
        co_await findOrigin(request, progress);
    m_retries.recordRequest(request.pool, RuntimeClock::now());
    if (!progress.refusal && m_backendCaller.statements().hasRestrictions())
        co_await reservePermit(request, progress);
    for (int round = 0; round < maxStageRounds && !progress.refusal; ++round) {
        progress.needsStageRerun = false;
        co_await runStages(request, progress);
        if (progress.stages.outcome == StageWorkOutcome::Done && !request.scope->isOver())
            co_await sendToEngines(request, progress);
        m_stages.release(std::exchange(progress.stages.results, {}));
        if (!progress.needsStageRerun || request.scope->isOver() || !hasUntriedEngine(request, progress))
            break;
    }
    if (progress.outcome.status == 0 && request.scope->endReason() != ScopeEndReason::CallerDisconnected)
        co_await refuseOrAbort(request, progress);
    co_return progress.outcome;
}

Asio::awaitable<void> StreamForwarder::findOrigin(ServedRequest& request, StreamProgress& progress)
{
    const std::optional<StreamOrigin> origin = co_await m_origins.find(request);
    const bool isServed = origin
        && std::any_of(request.route.pools.begin(), request.route.pools.end(),
            [&origin](const PoolShare& share) { return share.pool == origin->pool; });
    if (!isServed) {
        progress.refusal = GatewayRefusal::UnknownOrigin;
        co_return;
    }
    request.pool = origin->pool;
    progress.version = origin->version;
    if (!hasUntriedEngine(request, progress))
        progress.refusal = GatewayRefusal::VersionUnavailable;
}

Asio::awaitable<void> StreamForwarder::runStages(ServedRequest& request, StreamProgress& progress)
{
    if (request.route.stages.empty())
        co_return;
    // A caller that has received part of the stream waits for the next event as long as for the first.
    if (progress.hasBegun)
        request.firstEventDeadline = std::min(
            request.deadlineAt, RuntimeClock::now() + request.route.firstEventTimeout());
    progress.stages = co_await m_stages.run(request,
        m_firstEventEstimator.expectedTime(request.caller.promptTokens), expectedEngineDomain(request, progress));
}

Asio::awaitable<void> StreamForwarder::sendToEngines(ServedRequest& request, StreamProgress& progress)
{
    while (!request.scope->isOver() && progress.tried.size() < maxEngines
        && m_poison.mayRun(
            request.subjects, request.probation, progress.runs, RuntimeClock::now())) {
        const KnownServer* known = chooseEngine(request, progress);
        if (!known)
            co_return;
        const ServerEntry engine = known->server;
        progress.tried.insert(engine.id);
        if (!co_await acquirePermit(progress, engine))
            continue;
        const bool isRetry = progress.outcome.sends > 0;
        const TimePoint sentAt = RuntimeClock::now();
        std::optional<RetryPermit> permit;
        if (isRetry) {
            if (std::optional<RetryPermit> acquired = tryAcquireRetry(m_retries, request))
                permit.emplace(std::move(*acquired));
            else
                co_return;
        }
        onPromptSent(request, progress, engine.id);
        SendResult sent = co_await m_backendCaller.send(request, engine, progress.stages.inputs,
            progress.events.lastEventId(), std::max(request.timeLeft(sentAt), Milliseconds(1)));
        permit.reset();
        if (sent.outcome != SendOutcome::NotSent) {
            ++progress.outcome.sends;
            progress.outcome.server = engine.id;
            progress.outcome.serverVersion = engine.softwareVersion;
        }
        RolloutObserver& rollouts = m_backendCaller.rollouts();
        if (isServerFailure(sent.outcome))
            rollouts.recordFailure(request.route.name, engine);
        if (sent.outcome == SendOutcome::Responded) {
            ++progress.runs;
            if (sent.status >= statusServerError)
                rollouts.recordFailure(request.route.name, engine);
            if (co_await forwardResponse(request, progress, *sent.stream, engine, sentAt)) {
                onPromptEnded(request, progress, engine.id);
                co_return;
            }
        }
        onPromptEnded(request, progress, engine.id);
        if (sent.outcome == SendOutcome::NotRun && sent.status == statusConflict) {
            progress.needsStageRerun = true;
            progress.tried.erase(engine.id);
            co_return;
        }
        if (sent.outcome == SendOutcome::NotSent || sent.outcome == SendOutcome::NotRun)
            continue;
        if (sent.outcome != SendOutcome::Responded)
            ++progress.runs;
        // An engine that responds has kept its memory.
        if (sent.outcome != SendOutcome::UnprovenRefusal)
            m_placement.onMemoryLost(engine.id);
        // Without an ID of the last event, an engine would begin anew.
        const bool isResumable
            = progress.events.eventCount() == 0 || !progress.events.lastEventId().empty();
        if (!request.route.isRetryable() || progress.runs >= request.route.attemptLimit || !isResumable)
            co_return;
        progress.events.discardPartialEvent();
        if (progress.hasBegun && !request.route.stages.empty()) {
            progress.needsStageRerun = true;
            co_return;
        }
    }
}

Asio::awaitable<bool> StreamForwarder::forwardResponse(ServedRequest& request, StreamProgress& progress,
    HttpStream& stream, ServerEntry engine, TimePoint sentAt)
{
    stream.setTimeout(std::max(request.timeLeft(RuntimeClock::now()), Milliseconds(1)));
    const bool isSuccess = stream.status() / statusesPerClass == successClass;
    if (isSuccess)
        co_return co_await forwardEvents(request, progress, stream, engine, sentAt);
    // The engine responded with an error. It can't be forwarded once the caller's stream has begun.
    std::optional<ResponseBody> body
        = co_await m_backendCaller.readResponse(request, engine, stream, sentAt);
    if (!body)
        co_return false;
    if (progress.hasBegun)
        co_return false;
    progress.outcome.status = stream.status();
    progress.outcome.framing = stream.framing();
    co_await respondWithBody(request, stream, *body);
    co_return true;
}

Asio::awaitable<bool> StreamForwarder::forwardEvents(ServedRequest& request, StreamProgress& progress,
    HttpStream& stream, ServerEntry engine, TimePoint sentAt)
{
    HttpExchange& exchange = request.exchange;
    const std::size_t earlierEvents = progress.events.eventCount();
    bool isPromptRead = false;
    TimePoint firstEventAt {};
    TimePoint lastEventAt {};
    while (true) {
        std::optional<std::string> data;
        try {
            data = co_await stream.read();
            if (progress.events.partialEvent().size() > maxEventBytes)
                throw boost::system::system_error(Asio::error::message_size);
        } catch (const boost::system::system_error& error) {
            m_backendCaller.reportIncompleteResponse(request, engine, sentAt,
                { runEndOf(error.code()), error.code().message(), stream.framing(),
                    progress.events.partialEvent().size(), lastEventAt - firstEventAt });
            if (!request.scope->isOver())
                m_backendCaller.rollouts().recordFailure(request.route.name, engine);
            co_return false;
        }
        const bool hasEvents = progress.events.eventCount() > earlierEvents;
        if (!data && !co_await isComplete(request, progress, stream, engine, hasEvents, sentAt)) {
            m_backendCaller.rollouts().recordFailure(request.route.name, engine);
            co_return false;
        }
        // After the end of the stream, comments that follow the last event are forwarded too.
        const std::string events = data ? progress.events.feed(*data) : progress.events.partialEvent();
        if (!progress.hasBegun && (!events.empty() || !data)) {
            progress.hasBegun = true;
            co_await exchange.beginStream(
                stream.status(), "", Platform::callerFields(stream.head()));
        }
        if (!isPromptRead && progress.events.eventCount() > earlierEvents) {
            isPromptRead = true;
            firstEventAt = RuntimeClock::now();
            if (!progress.version)
                progress.version = engine.softwareVersion;
            if (request.route.isResumable)
                m_origins.recordBegin(request, *progress.version);
            m_firstEventEstimator.recordFirstEvent(request.caller.promptTokens, RuntimeClock::now() - sentAt);
            onPromptEnded(request, progress, engine.id);
            // The engine has read the stage results. They are not kept for a resumption at another engine,
            // which runs the stages again: engines fail rarely, and result capacity is scarce.
            m_stages.release(std::exchange(progress.stages.results, {}));
        }
        if (isPromptRead && !events.empty())
            lastEventAt = RuntimeClock::now();
        co_await exchange.writeChunk(events);
        if (data)
            continue;
        m_backendCaller.reportResponse(
            request, engine, sentAt, { stream.status(), stream.framing(), hasEvents });
        const auto received = static_cast<Duration::rep>(progress.events.eventCount() - earlierEvents);
        m_backendCaller.rollouts().recordSuccess(request.route.name, engine,
            received < minPacedEvents ? std::nullopt : std::optional<Duration>((lastEventAt - firstEventAt) / (received - 1)));
        co_await exchange.endStream();
        progress.outcome.status = stream.status();
        progress.outcome.framing = stream.framing();
        progress.outcome.unfinishedBytes = progress.events.partialEvent().size();
        co_return true;
    }
}

Asio::awaitable<bool> StreamForwarder::isComplete(const ServedRequest& request,
    const StreamProgress& progress, const HttpStream& stream, ServerEntry engine, bool hasEvents,
    TimePoint sentAt)
{
    const StreamEnd end = streamEndOf(stream.framing(), progress.events, hasEvents);
    const bool hasServerEnded
        = end == StreamEnd::Unproven && co_await m_backendCaller.hasEnded(engine);
    if (end != StreamEnd::Broken && !hasServerEnded)
        co_return true;
    m_backendCaller.reportIncompleteResponse(request, engine, sentAt,
        { RunEnd::Broken, hasServerEnded ? serverEndedReason : unfinishedEventReason, stream.framing(),
            progress.events.partialEvent().size() });
    co_return false;
}

void StreamForwarder::onPromptSent(
    ServedRequest& request, StreamProgress& progress, const BackendServerId& engine)
{
    const Pool* pool = request.config->findPool(request.pool);
    progress.isPromptPending = true;
    m_placement.onSent(
        request.caller, engine, pool && pool->engine ? pool->engine->memoryTokens : 0);
}

void StreamForwarder::onPromptEnded(
    ServedRequest& request, StreamProgress& progress, const BackendServerId& engine)
{
    if (std::exchange(progress.isPromptPending, false))
        m_placement.onPromptRead(request.caller, engine);
}

std::optional<Milliseconds> StreamForwarder::versionRetryAfter(
    const ServedRequest& request, const SoftwareVersion& version) const
{
    const auto servers = m_view.servers().notDraining(request.pool);
    const bool mayReturn = std::any_of(servers.begin(), servers.end(), [&version](const KnownServer* known) {
        return canContinueStream(version, known->server.softwareVersion);
    });
    return mayReturn ? std::optional(fullPoolRetryAfter) : std::nullopt;
}

Asio::awaitable<void> StreamForwarder::refuseOrAbort(ServedRequest& request, StreamProgress& progress)
{
    if (progress.hasBegun) {
        // An incomplete stream must not look complete to the caller.
        request.exchange.abort();
        progress.outcome.refusal = "cut";
        co_return;
    }
    RefusalChoice refusal = withPrecedingReasons(chooseRefusal(request, progress), request, progress.runs, m_poison);
    if (progress.runs == 0 && request.scope->endReason() == ScopeEndReason::TimedOut)
        refusal = { GatewayRefusal::OutOfTime, std::nullopt };
    co_await refuseWith(request, progress.outcome, refusal);
}

RefusalChoice StreamForwarder::chooseRefusal(const ServedRequest& request, const StreamProgress& progress)
{
    const auto withoutRun = [&] {
        return refusalWithoutRun(
            progress.outcome, m_backendCaller, usableEngines(request, progress), fullPoolRetryAfter);
    };
    if (progress.refusal == GatewayRefusal::Limited || progress.refusal == GatewayRefusal::Resting)
        return { *progress.refusal, withoutRun().retryAfter };
    if (progress.refusal)
        return { *progress.refusal,
            progress.version ? versionRetryAfter(request, *progress.version) : std::nullopt };
    if (progress.runs > 0) {
        const bool isTimeout = request.scope->endReason() == ScopeEndReason::TimedOut;
        return { isTimeout ? GatewayRefusal::TimedOut : GatewayRefusal::ServerFailed, std::nullopt };
    }
    if (progress.stages.outcome != StageWorkOutcome::Done)
        return { refusalFor(progress.stages.outcome), std::max(progress.stages.retryAfter, minStageRetryAfter) };
    return withoutRun();
}

}
