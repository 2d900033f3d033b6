#include "gateway/requestservice.h"

#include "libapricot/rendezvous.h"
#include "libnet/log.h"
#include "libnet/watchdog.h"
#include "libserving/poisonsubjects.h"
#include "platform/requesttranslation.h"

#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // A configuration arrives within this time after startup, and after it was overdue, as long as the store responds.
    constexpr Milliseconds notReadyRetryAfter { 500 };
    // Applies to requests for which neither the route nor the caller sets a timeout.
    constexpr Milliseconds defaultTimeout { 60'000 };

    // Chooses a pool of the route in proportion to the weights. All hosts choose the same pool for the
    // same request ID.
    PoolId choosePool(const Route& route, const std::string& requestId)
    {
        double total = 0;
        for (const PoolShare& share : route.pools)
            total += share.weight;
        constexpr std::uint64_t steps = 1U << 20U;
        double position = total * static_cast<double>(stableHash(requestId) % steps)
            / static_cast<double>(steps);
        for (const PoolShare& share : route.pools) {
            if (position < share.weight)
                return share.pool;
            position -= share.weight;
        }
        return route.pools.back().pool;
    }

    std::string_view routeKindName(RetryRule rule)
    {
        switch (rule) {
        case RetryRule::Idempotent:
            return "idempotent";
        case RetryRule::NotIdempotent:
            return "not_idempotent";
        case RetryRule::Stream:
            return "stream";
        }
        return "none";
    }

    // The owner's rank takes precedence; the route's rank orders requests of owners with the same rank.
    int rankOf(const Route& route, const Owner* owner)
    {
        constexpr int routeRanks = 100;
        return (owner && owner->rank ? *owner->rank * routeRanks : 0) + route.rank;
    }

    ServedOutcome refusalOutcome(GatewayRefusal reason)
    {
        return { .status = refusalStatus(reason), .refusal = refusalName(reason) };
    }

}

RequestService::RequestService(Asio::io_context& context, ServingView& view,
    PlainForwarder& plainForwarder, StreamForwarder& streamForwarder, const PoisonTable& poison,
    GatewayMetrics& metrics)
    : m_context(context)
    , m_view(view)
    , m_plainForwarder(plainForwarder)
    , m_streamForwarder(streamForwarder)
    , m_poison(poison)
    , m_metrics(metrics)
{
}

HttpLimits RequestService::limits() const
{
    const auto config = m_view.config();
    return config ? config->limits : HttpLimits {};
}

Asio::awaitable<void> RequestService::serve(HttpExchange& exchange)
{
    const TimePoint startedAt = RuntimeClock::now();
    CallerRequest caller = Platform::readCallerRequest(exchange.request());
    const std::string id = caller.id;
    const std::string resumedRequestId = caller.resumedRequestId;
    ServedOutcome outcome;
    RequestLabels labels;
    std::string failure;
    try {
        outcome = co_await checkAndForward(exchange, caller, labels);
    } catch (const std::exception& error) {
        // The caller's connection broke while the response was written.
        failure = error.what();
    }
    const TimePoint now = RuntimeClock::now();
    m_metrics.onRequestEnded(labels.kind, outcome, now - startedAt);
    const auto duration = millisecondsBetween(startedAt, now);
    boost::json::object fields { { "request", id }, { "path", exchange.request().path },
        { "kind", labels.kind }, { "status", outcome.status }, { "ms", duration }, { "sends", outcome.sends },
        { "config", m_view.config() ? m_view.config()->version : 0 } };
    if (!labels.subjects.empty()) {
        fields["identity"] = toText(labels.subjects.front().fingerprint);
        fields["parts"] = partNames(labels.subjects);
    }
    if (!labels.refusedSubject.empty())
        fields["poisoned"] = labels.refusedSubject;
    if (!outcome.refusal.empty()) {
        fields["refusal"] = outcome.refusal;
        const std::optional<TimePoint> confirmedAt = m_view.configConfirmedAt();
        fields["config_age_ms"] = confirmedAt ? boost::json::value(millisecondsBetween(*confirmedAt, now)) : nullptr;
    }
    if (!outcome.server.empty()) {
        fields["server"] = outcome.server.value();
        fields["server_version"] = outcome.serverVersion.value();
    }
    if (!outcome.limited.empty())
        fields["limited_servers"] = outcome.limited.size();
    if (!outcome.full.empty())
        fields["full_servers"] = outcome.full.size();
    if (!outcome.resting.empty())
        fields["resting_servers"] = outcome.resting.size();
    if (!resumedRequestId.empty())
        fields["resumes"] = resumedRequestId;
    if (outcome.framing) {
        fields["framing"] = bodyFramingName(*outcome.framing);
        fields["unfinished_bytes"] = outcome.unfinishedBytes;
    }
    if (!failure.empty())
        fields["failure"] = failure;
    writeLog(LogLevel::Info, "request_ended", fields);
}

Asio::awaitable<ServedOutcome> RequestService::checkAndForward(
    HttpExchange& exchange, CallerRequest& caller, RequestLabels& labels)
{
    const TimePoint now = RuntimeClock::now();
    const auto config = m_view.config();
    if (!config) {
        co_await refuse(exchange, GatewayRefusal::NotReady, notReadyRetryAfter);
        co_return refusalOutcome(GatewayRefusal::NotReady);
    }
    const HttpRequest& http = exchange.request();
    const Route* route = config->findRoute(http.field("Host"), http.path);
    if (!route)
        co_return co_await refuseByConfig(exchange, GatewayRefusal::UnknownRoute);
    if (std::any_of(caller.stagePieces.begin(), caller.stagePieces.end(),
            [](int pieces) { return pieces > maxStagePieces; })) {
        co_await refuse(exchange, GatewayRefusal::TooManyPieces);
        co_return refusalOutcome(GatewayRefusal::TooManyPieces);
    }
    labels.kind = routeKindName(route->retryRule);
    const Owner* owner = config->findOwner(caller.apiKey);
    if (!owner && !route->isPublic && config->requiresKeys())
        co_return co_await refuseByConfig(exchange, GatewayRefusal::UnknownKey);
    Milliseconds timeLimit = caller.timeout.value_or(defaultTimeout);
    if (route->timeout.count() > 0)
        timeLimit = std::min(timeLimit, route->timeout);
    const Milliseconds waited = caller.timeout
        ? m_waitEstimator.recordAttempt(route->name, *caller.timeout)
        : Milliseconds(0);
    PoolId pool = choosePool(*route, caller.lastEventId.empty() ? caller.id : caller.resumedRequestId);
    ServedRequest request { .exchange = exchange,
        .caller = std::move(caller),
        .config = config,
        .route = *route,
        .pool = std::move(pool),
        .rank = rankOf(*route, owner),
        .arrivedAt = now,
        .objectiveAt = now + route->objective - waited,
        .deadlineAt = now + timeLimit,
        .firstEventDeadline = now + std::min(timeLimit, route->firstEventTimeout()) };
    if (owner)
        request.owner = owner->id;
    request.fingerprint = fingerprintOf(http.target, request.owner, http.body);
    request.subjects = poisonSubjectsOf(request.fingerprint, request.caller.promptParts);
    labels.subjects = request.subjects;
    const std::vector<PoisonSubject> refused = m_poison.refusedOf(request.subjects, now);
    // A probation that finds no server would prove nothing.
    const bool canRun = !m_view.servers().usable(request.pool, now).empty();
    if (!refused.empty() && canRun && m_probationHandler && m_probationHandler(refused))
        request.probation = refused;
    if (!refused.empty() && request.probation.empty()) {
        labels.refusedSubject = refused.front().name();
        co_await refuse(exchange, GatewayRefusal::Poisoned, m_poison.retryAfter(request.subjects, now));
        co_return refusalOutcome(GatewayRefusal::Poisoned);
    }
    co_return co_await forward(request);
}

Asio::awaitable<ServedOutcome> RequestService::refuseByConfig(HttpExchange& exchange, GatewayRefusal reason)
{
    // Callers do not retry after a refusal for good.
    if (m_view.isConfigOverdue(RuntimeClock::now())) {
        co_await refuse(exchange, GatewayRefusal::OutdatedConfig, notReadyRetryAfter);
        co_return refusalOutcome(GatewayRefusal::OutdatedConfig);
    }
    co_await refuse(exchange, reason);
    co_return refusalOutcome(reason);
}

Asio::awaitable<ServedOutcome> RequestService::forward(ServedRequest& request)
{
    const std::shared_ptr<RequestScope> scope = request.scope;
    request.exchange.setPeerDisconnectedHandler([scope] { scope->end(ScopeEndReason::CallerDisconnected); });
    const Watchdog deadline(m_context, request.deadlineAt - RuntimeClock::now(),
        [scope] { scope->end(ScopeEndReason::TimedOut); });
    std::erase_if(m_scopes, [](const auto& weak) { return weak.expired(); });
    m_scopes.push_back(scope);
    if (request.route.retryRule == RetryRule::Stream)
        co_return co_await m_streamForwarder.serve(request);
    co_return co_await m_plainForwarder.serve(request);
}

void RequestService::refuseUnsent()
{
    for (const std::weak_ptr<RequestScope>& weak : m_scopes) {
        const auto scope = weak.lock();
        if (scope && !scope->isSent())
            scope->end(ScopeEndReason::Stopping);
    }
}

}
