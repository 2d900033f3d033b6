#include "gateway/plainforwarder.h"

#include "libnet/log.h"
#include "platform/requesttranslation.h"

#include <boost/json/object.hpp>

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Timeout of an attempt of an idempotent request before another server is tried, as a multiple of
    // the request's objective, and its lower bound.
    constexpr double attemptTimeoutObjectives = 2.0;
    constexpr Milliseconds minAttemptTimeout { 200 };
    // A request is given up after this many unreachable servers.
    constexpr int maxUnreachable = 5;
    // A full pool frees a slot within the processing time of a request.
    constexpr Milliseconds fullPoolRetryAfter { 150 };
    constexpr int statusServerError = 500;

}

std::optional<RetryPermit> tryAcquireRetry(RetryWindow& retries, const ServedRequest& request)
{
    const TimePoint now = RuntimeClock::now();
    if (std::optional<RetryPermit> permit = retries.tryAcquireRetry(request.pool, now))
        return permit;
    const RetryUsage usage = retries.usage(request.pool, now);
    writeLog(LogLevel::Info, "retry_refused",
        { { "request", request.caller.id }, { "identity", toText(request.fingerprint) },
            { "pool", request.pool.value() }, { "retries", usage.retries },
            { "allowed", usage.allowed } });
    return std::nullopt;
}

PlainForwarder::PlainForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries,
    const PoisonTable& poison)
    : m_view(view)
    , m_backendCaller(backendCaller)
    , m_retries(retries)
    , m_poison(poison)
{
}

Asio::awaitable<ServedOutcome> PlainForwarder::serve(ServedRequest& request)
{
    Progress progress;
    m_retries.recordRequest(request.pool, RuntimeClock::now());
    while (const KnownServer* known = nextServer(request, progress)) {
        const ServerEntry server = known->server;
        if (co_await trySend(request, progress, server))
            break;
    }
    if (progress.outcome.status == 0 && request.scope->endReason() != ScopeEndReason::CallerDisconnected)
        co_await respondWithRefusal(request, progress);
    co_return progress.outcome;
}

const KnownServer* PlainForwarder::nextServer(const ServedRequest& request, Progress& progress)
{
    const KnownServer* known = chooseServer(request, progress);
    if (!known || progress.unreachable >= maxUnreachable || request.scope->isOver()
        || !m_poison.mayRun(
            request.subjects, request.probation, progress.runs, RuntimeClock::now()))
        return nullptr;
    return progress.outcome.sends == 0 || ensureRetryPermit(request, progress) ? known : nullptr;
}

bool PlainForwarder::ensureRetryPermit(const ServedRequest& request, Progress& progress)
{
    if (!progress.retryPermit) {
        if (std::optional<RetryPermit> permit = tryAcquireRetry(m_retries, request))
            progress.retryPermit.emplace(std::move(*permit));
    }
    return progress.retryPermit.has_value();
}

Asio::awaitable<bool> PlainForwarder::trySend(
    ServedRequest& request, Progress& progress, ServerEntry server)
{
    progress.tried.insert(server.id);
    if (!co_await m_backendCaller.limits().acquire(server)) {
        progress.outcome.limited.insert(server.id);
        co_return false;
    }
    if (request.scope->isOver())
        co_return false;
    const Milliseconds timeout = attemptTimeoutFor(request, progress.runs);
    const TimePoint sentAt = RuntimeClock::now();
    const SendResult sent = co_await m_backendCaller.send(
        request, server, std::vector<std::string>(), std::string(), timeout);
    if (sent.outcome == SendOutcome::NotSent) {
        ++progress.unreachable;
        co_return false;
    }
    ++progress.outcome.sends;
    progress.outcome.server = server.id;
    progress.outcome.serverVersion = server.softwareVersion;
    progress.retryPermit.reset();
    if (sent.outcome == SendOutcome::NotRun)
        co_return false;
    ++progress.runs;
    const bool mayRetry
        = request.route.isRetryable() && progress.runs < request.route.attemptLimit;
    const std::string& route = request.route.name;
    RolloutObserver& rollouts = m_backendCaller.rollouts();
    if (isServerFailure(sent.outcome) || sent.status >= statusServerError)
        rollouts.recordFailure(route, server);
    if (sent.outcome != SendOutcome::Responded)
        co_return !mayRetry;
    if (mayRetry && sent.status >= statusServerError && nextServer(request, progress) != nullptr) {
        m_backendCaller.reportResponse(request, server, sentAt, { sent.status, sent.stream->framing() });
        co_return false;
    }
    sent.stream->setTimeout(std::max(request.timeLeft(RuntimeClock::now()), Milliseconds(1)));
    std::optional<ResponseBody> body
        = co_await m_backendCaller.readResponse(request, server, *sent.stream, sentAt);
    if (body && sent.status < statusServerError)
        rollouts.recordSuccess(route, server, RuntimeClock::now() - sentAt);
    else if (!body && sent.status < statusServerError && !request.scope->isOver())
        rollouts.recordFailure(route, server);
    if (!body && mayRetry && nextServer(request, progress) != nullptr)
        co_return false;
    const ServedOutcome forwarded = co_await forwardResponse(request, *sent.stream, std::move(body));
    progress.outcome.status = forwarded.status;
    progress.outcome.framing = forwarded.framing;
    progress.outcome.refusal = forwarded.refusal;
    co_return true;
}

Asio::awaitable<void> PlainForwarder::respondWithRefusal(ServedRequest& request, Progress& progress)
{
    RefusalChoice refusal;
    if (progress.runs == 0)
        refusal = refusalWithoutRun(progress.outcome, m_backendCaller,
            m_view.servers().usable(request.pool, RuntimeClock::now()), fullPoolRetryAfter);
    else if (request.scope->endReason() == ScopeEndReason::TimedOut)
        refusal.reason = GatewayRefusal::TimedOut;
    refusal = withPrecedingReasons(refusal, request, progress.runs, m_poison);
    co_await refuseWith(request, progress.outcome, refusal);
}

const KnownServer* PlainForwarder::chooseServer(const ServedRequest& request, Progress& progress)
{
    const TimePoint now = RuntimeClock::now();
    const ServerTracker& tracker = m_backendCaller.tracker();
    const KnownServer* best = nullptr;
    std::tuple<bool, bool, double> bestSortKey;
    RolloutObserver& rollouts = m_backendCaller.rollouts();
    const bool isRepeat = progress.outcome.sends > 0;
    for (const KnownServer* known : rollouts.usableServers(request.pool, request.caller.id, isRepeat)) {
        const BackendServerId& id = known->server.id;
        if (progress.tried.contains(id))
            continue;
        if (!checkAvailability(m_backendCaller.statements(), known->server, progress.outcome))
            continue;
        if (!m_backendCaller.mayReceiveWhileCold(*known, now))
            continue;
        const bool isPreferred = rollouts.isPreferred(known->server, request.caller.id, isRepeat);
        const std::tuple sortKey(!isPreferred, tracker.isAvoided(id, now), tracker.cost(id));
        if (!best || sortKey < bestSortKey) {
            best = known;
            bestSortKey = sortKey;
        }
    }
    return best;
}

Milliseconds PlainForwarder::attemptTimeoutFor(const ServedRequest& request, int runs) const
{
    const Milliseconds left = request.timeLeft(RuntimeClock::now());
    if (!request.route.isRetryable() || runs + 1 >= request.route.attemptLimit)
        return left;
    const Milliseconds attemptTimeout(static_cast<Milliseconds::rep>(
        attemptTimeoutObjectives * static_cast<double>(request.route.objective.count())));
    return std::min(left, std::max(attemptTimeout, minAttemptTimeout));
}

Asio::awaitable<void> respondWithBody(ServedRequest& request, const HttpStream& stream, ResponseBody& body)
{
    // A caller that does not read must not keep others from their responses.
    HttpExchange& exchange = request.exchange;
    MemoryAccount::Holder* const holder = body.holder.get();
    if (holder) {
        holder->onProgress(RuntimeClock::now());
        holder->setEviction([&exchange] { exchange.abort(); });
        exchange.setProgressHandler([holder](TimePoint now) { holder->onProgress(now); });
    }
    std::exception_ptr failure;
    try {
        co_await exchange.respond(
            stream.status(), "", std::move(body.bytes), Platform::callerFields(stream.head()));
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    exchange.setProgressHandler(nullptr);
    if (failure)
        std::rethrow_exception(failure);
}

Asio::awaitable<ServedOutcome> PlainForwarder::forwardResponse(
    ServedRequest& request, const HttpStream& stream, std::optional<ResponseBody> body)
{
    ServedOutcome outcome { .status = stream.status(), .framing = stream.framing() };
    if (!body) {
        const bool isTimeout = request.scope->endReason() == ScopeEndReason::TimedOut;
        const GatewayRefusal reason
            = isTimeout ? GatewayRefusal::TimedOut : GatewayRefusal::ServerFailed;
        outcome.framing.reset();
        outcome.refusal = refusalName(reason);
        outcome.status = refusalStatus(reason);
        if (request.scope->endReason() != ScopeEndReason::CallerDisconnected)
            co_await refuse(request.exchange, reason);
        co_return outcome;
    }
    co_await respondWithBody(request, stream, *body);
    co_return outcome;
}

}
