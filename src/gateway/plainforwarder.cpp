#include "gateway/plainforwarder.h"

#include "platform/requesttranslation.h"

#include <algorithm>
#include <tuple>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Longest wait for an idempotent request's answer before another server is tried, as a multiple
    // of its objective and at least so long.
    constexpr double silenceObjectives = 2.0;
    constexpr Milliseconds shortestSilence { 200 };
    // Servers that may be found unreachable for one request.
    constexpr int connectLimit = 5;
    // A full service frees a place within a request's time of work.
    constexpr Milliseconds fullRetry { 150 };
    constexpr int statusServerError = 500;

}

PlainForwarder::PlainForwarder(ServingView& view, BackendCaller& caller, RetryWindow& retries)
    : m_view(view)
    , m_caller(caller)
    , m_retries(retries)
{
}

Asio::awaitable<ServedEnd> PlainForwarder::serve(ServedRequest& request)
{
    Progress progress;
    m_retries.recordRequest(request.pool, RuntimeClock::now());
    while (const KnownServer* known = next(request, progress)) {
        const ServerEntry server = known->server;
        if (co_await trySend(request, progress, server))
            break;
    }
    if (progress.end.status == 0 && request.scope->ended() != ScopeEnd::CallerGone)
        co_await giveUp(request, progress);
    co_return progress.end;
}

const KnownServer* PlainForwarder::next(const ServedRequest& request, Progress& progress)
{
    const KnownServer* known = choose(request, progress);
    if (!known || progress.unreachable >= connectLimit || request.scope->isOver())
        return nullptr;
    return progress.end.sends == 0 || takeRepeat(request, progress) ? known : nullptr;
}

bool PlainForwarder::takeRepeat(const ServedRequest& request, Progress& progress)
{
    if (!progress.hasRepeat)
        progress.hasRepeat = m_retries.tryAcquireRetry(request.pool, RuntimeClock::now());
    return progress.hasRepeat;
}

Asio::awaitable<bool> PlainForwarder::trySend(
    ServedRequest& request, Progress& progress, ServerEntry server)
{
    progress.tried.insert(server.id);
    const Milliseconds patience = patienceFor(request, progress.runs);
    const SendResult sent = co_await m_caller.send(
        request, server, std::vector<std::string>(), std::string(), patience);
    if (sent.end == SendEnd::NotSent) {
        ++progress.unreachable;
        co_return false;
    }
    ++progress.end.sends;
    progress.end.server = server.id;
    progress.hasRepeat = false;
    if (sent.end == SendEnd::NotRun)
        co_return false;
    ++progress.runs;
    const bool mayTryAgain
        = request.route.isRetryable() && progress.runs < request.route.attemptLimit;
    if (sent.end != SendEnd::Answered)
        co_return !mayTryAgain;
    if (mayTryAgain && sent.status >= statusServerError && next(request, progress) != nullptr)
        co_return false;
    const ServedEnd answered = co_await answer(request, *sent.stream);
    progress.end.status = answered.status;
    progress.end.refusal = answered.refusal;
    co_return true;
}

Asio::awaitable<void> PlainForwarder::giveUp(ServedRequest& request, Progress& progress)
{
    GatewayRefusal reason = GatewayRefusal::ServerFailed;
    std::optional<Milliseconds> retryAfter;
    if (progress.runs == 0) {
        reason = progress.end.sends > 0 ? GatewayRefusal::Overloaded : GatewayRefusal::NoServer;
        retryAfter = fullRetry;
    } else if (request.scope->ended() == ScopeEnd::TimedOut) {
        reason = GatewayRefusal::TimedOut;
    }
    if (request.scope->ended() == ScopeEnd::Stopping) {
        reason = GatewayRefusal::NotReady;
        retryAfter = Milliseconds(0);
    }
    progress.end.refusal = refusalName(reason);
    progress.end.status = refusalStatus(reason);
    co_await refuse(request.exchange, reason, retryAfter);
}

const KnownServer* PlainForwarder::choose(
    const ServedRequest& request, const Progress& progress)
{
    const TimePoint now = RuntimeClock::now();
    const ServerTracker& tracker = m_caller.tracker();
    const KnownServer* best = nullptr;
    std::tuple<bool, double> bestPlace;
    for (const KnownServer* known : m_view.servers().usable(request.pool, now)) {
        const BackendServerId& id = known->server.id;
        if (progress.tried.contains(id))
            continue;
        const std::tuple place(tracker.isAvoided(id, now), tracker.cost(id));
        if (!best || place < bestPlace) {
            best = known;
            bestPlace = place;
        }
    }
    return best;
}

Milliseconds PlainForwarder::patienceFor(const ServedRequest& request, int runs) const
{
    const Milliseconds left = request.timeLeft(RuntimeClock::now());
    if (!request.route.isRetryable() || runs + 1 >= request.route.attemptLimit)
        return left;
    const Milliseconds silence(static_cast<Milliseconds::rep>(
        silenceObjectives * static_cast<double>(request.route.objective.count())));
    return std::min(left, std::max(silence, shortestSilence));
}

Asio::awaitable<ServedEnd> PlainForwarder::answer(ServedRequest& request, HttpStream& stream)
{
    ServedEnd end { .status = stream.status() };
    std::string body;
    bool isWhole = true;
    stream.setTimeout(std::max(request.timeLeft(RuntimeClock::now()), Milliseconds(1)));
    try {
        body = co_await readBody(stream);
    } catch (const boost::system::system_error&) {
        isWhole = false;
    }
    if (!isWhole) {
        const bool isTimeout = request.scope->ended() == ScopeEnd::TimedOut;
        const GatewayRefusal reason
            = isTimeout ? GatewayRefusal::TimedOut : GatewayRefusal::ServerFailed;
        end.refusal = refusalName(reason);
        end.status = refusalStatus(reason);
        if (request.scope->ended() != ScopeEnd::CallerGone)
            co_await refuse(request.exchange, reason);
        co_return end;
    }
    co_await request.exchange.respond(
        end.status, "", std::move(body), Platform::callerFields(stream.head()));
    co_return end;
}

}
