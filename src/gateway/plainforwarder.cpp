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
    const bool mayRunAgain = request.route.mayRunAgain();
    std::set<BackendServerId> tried;
    ServedEnd end;
    int runs = 0;
    int unreachable = 0;
    bool isNotRun = true;
    m_retries.countRequest(request.pool, RuntimeClock::now());
    while (true) {
        const KnownServer* known = choose(request, tried);
        const bool isRepeat = end.sends > 0;
        if (!known || unreachable >= connectLimit || request.scope->isOver()
            || (isRepeat && !m_retries.takeRepeat(request.pool, RuntimeClock::now())))
            break;
        const ServerEntry server = known->server;
        tried.insert(server.id);
        const Milliseconds patience = patienceFor(request, runs);
        SendResult sent = co_await m_caller.send(
            request, server, std::vector<std::string>(), std::string(), patience);
        if (sent.end == SendEnd::NotSent) {
            ++unreachable;
            continue;
        }
        ++end.sends;
        end.server = server.id;
        if (sent.end == SendEnd::NotRun)
            continue;
        ++runs;
        isNotRun = false;
        const bool mayTryAgain = mayRunAgain && runs < request.route.attemptLimit;
        if (sent.end == SendEnd::Answered) {
            if (mayTryAgain && sent.status >= statusServerError
                && choose(request, tried) != nullptr
                && m_retries.takeRepeat(request.pool, RuntimeClock::now())) {
                sent.stream.reset();
                continue;
            }
            ServedEnd answered = co_await answer(request, *sent.stream);
            answered.server = server.id;
            answered.sends = end.sends;
            co_return answered;
        }
        if (!mayTryAgain)
            break;
    }
    if (request.scope->ended() == ScopeEnd::CallerGone)
        co_return end;
    GatewayRefusal reason = GatewayRefusal::ServerFailed;
    if (isNotRun)
        reason = end.sends > 0 ? GatewayRefusal::Overloaded : GatewayRefusal::NoServer;
    else if (request.scope->ended() == ScopeEnd::TimedOut)
        reason = GatewayRefusal::TimedOut;
    end.refusal = refusalName(reason);
    end.status = refusalStatus(reason);
    co_await refuse(request.exchange, reason,
        isNotRun ? std::optional(fullRetry) : std::nullopt);
    co_return end;
}

const KnownServer* PlainForwarder::choose(
    const ServedRequest& request, const std::set<BackendServerId>& tried)
{
    const TimePoint now = RuntimeClock::now();
    const ServerTracker& tracker = m_caller.tracker();
    const KnownServer* best = nullptr;
    std::tuple<bool, double> bestPlace;
    for (const KnownServer* known : m_view.servers().usable(request.pool, now)) {
        const BackendServerId& id = known->server.id;
        if (tried.contains(id))
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
    if (!request.route.mayRunAgain() || runs + 1 >= request.route.attemptLimit)
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
        while (std::optional<std::string> data = co_await stream.read())
            body += *data;
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
