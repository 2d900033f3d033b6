#include "gateway/servedoutcome.h"

#include <algorithm>

namespace Apricot {

bool checkAvailability(ServerStatements& statements, const ServerEntry& server, ServedOutcome& outcome)
{
    switch (statements.availability(server)) {
    case ServerAvailability::Available:
        return true;
    case ServerAvailability::Limited:
        outcome.limited.insert(server.id);
        return false;
    case ServerAvailability::Full:
        outcome.full.insert(server.id);
        return false;
    case ServerAvailability::Resting:
        outcome.resting.insert(server.id);
        return false;
    }
    return false;
}

RefusalChoice refusalWithoutRun(const ServedOutcome& outcome, BackendCaller& backendCaller,
    const std::vector<const KnownServer*>& servers, Milliseconds fullRetryAfter)
{
    ServerStatements& statements = backendCaller.statements();
    const bool isFull = outcome.sends > 0 || !outcome.full.empty();
    const bool isLimited = !isFull && !outcome.limited.empty();
    const bool isAvailable = servers.empty() || statements.isAnyAvailable(servers);
    RefusalChoice refusal { isFull ? GatewayRefusal::Overloaded : GatewayRefusal::NoServer, fullRetryAfter };
    if (isLimited)
        refusal = { GatewayRefusal::Limited, statements.retryAfter(servers) };
    else if (!isAvailable)
        refusal.retryAfter = std::max(fullRetryAfter, statements.retryAfter(servers));
    const bool isResting = std::any_of(servers.begin(), servers.end(),
        [&statements](const KnownServer* known) { return statements.isResting(startOf(known->server)); });
    if (!isAvailable && isResting)
        refusal.reason = GatewayRefusal::Resting;
    return refusal;
}

RefusalChoice withPrecedingReasons(
    RefusalChoice refusal, const ServedRequest& request, int runs, const PoisonTable& poison)
{
    const TimePoint now = RuntimeClock::now();
    if (request.scope->endReason() == ScopeEndReason::Stopping)
        return { GatewayRefusal::NotReady, Milliseconds(0) };
    if (runs == 0 && !poison.refusedOf(request.subjects, now).empty())
        return { GatewayRefusal::Poisoned, poison.retryAfter(request.subjects, now) };
    return refusal;
}

boost::asio::awaitable<void> refuseWith(ServedRequest& request, ServedOutcome& outcome, RefusalChoice refusal)
{
    outcome.refusal = refusalName(refusal.reason);
    outcome.status = refusalStatus(refusal.reason);
    co_await refuse(request.exchange, refusal.reason, refusal.retryAfter);
}

}
