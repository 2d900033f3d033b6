#include "replicahome.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value_to.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <utility>

namespace Apricot {

using namespace boost::asio::experimental::awaitable_operators;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusConflict = 409;
    constexpr int statusUnavailable = 503;
    // Maximum number of crashed attempts listed in the state dump.
    constexpr std::size_t maxListedCrashes = 16;

    ServerCapacityOptions capacityOptionsOf(const BackendServer& server)
    {
        return { .coldCap = server.coldCap, .warmCap = server.warmCap };
    }

    const char* stageKindName(StageKind kind)
    {
        switch (kind) {
        case StageKind::Encode:
            return "encode";
        case StageKind::Retrieve:
            return "retrieve";
        case StageKind::Rerank:
            return "rerank";
        case StageKind::Generate:
            return "generate";
        case StageKind::Call:
            return "call";
        }
        return "unknown";
    }

    int priorityOf(ServiceClass serviceClass)
    {
        return static_cast<int>(serviceClass);
    }

    ServerReport parseReport(const std::string& body)
    {
        const boost::json::value parsed = boost::json::parse(body);
        const boost::json::object& object = parsed.as_object();
        return { .incarnation = boost::json::value_to<std::string>(object.at("incarnation")),
            .inFlight = object.at("in_flight").to_number<int>(),
            .completed = object.at("completed").to_number<std::uint64_t>() };
    }

    std::string makeOrderBody(const std::string& text, ObjectVersion fence)
    {
        return boost::json::serialize(boost::json::object { { "order", text }, { "fence", fence } });
    }

    // Reads the rest of a complete response, so that its connection can be reused.
    boost::asio::awaitable<void> drainStream(std::unique_ptr<HttpStream> stream)
    {
        try {
            while (co_await stream->read()) { }
        } catch (const std::exception&) {
            // The response was already complete; only its connection is not reused.
            co_return;
        }
    }

    bool isConnectionRefused(const boost::system::system_error& error)
    {
        return error.code() == boost::asio::error::connection_refused;
    }

}

ReplicaHome::ReplicaHome(boost::asio::io_context& context, const ControlViewSource& views,
    ReplicaHomeOptions options)
    : m_views(views)
    , m_executor(context.get_executor())
    , m_options(std::move(options))
    , m_client(context, { .address = m_options.server.address, .port = m_options.server.port })
    , m_ledger({ .capacity = capacityOptionsOf(m_options.server),
          .queueLimit = m_options.queueLimit,
          .takeover = m_options.takeover })
{
}

boost::asio::awaitable<void> ReplicaHome::serve(std::shared_ptr<PeerStream> peer, StageCall call)
{
    // A takeover from this process relies on this maximum duration of an attempt.
    const auto longest
        = std::chrono::duration_cast<Milliseconds>(m_options.takeover.longestAttempt);
    call.budget = std::min(call.budget, longest);
    const auto run
        = std::make_shared<StageRun>(m_executor, std::move(peer), std::move(call), m_nextNumber++);
    m_runs.emplace(run->number(), run);
    boost::asio::co_spawn(m_executor, StageRun::watchPeer(run), boost::asio::detached);
    StageOutcome outcome = co_await runCall(*run);
    m_runs.erase(run->number());
    outcome.attempt = run->call().attempt;
    outcome.load = m_ledger.inFlight() + static_cast<int>(m_ledger.queueLength());
    outcome.cap = m_ledger.cap();
    co_await run->end(std::move(outcome));
}

boost::asio::awaitable<StageOutcome> ReplicaHome::runCall(StageRun& run)
{
    const StageCall& call = run.call();
    refresh();
    apply(m_ledger.submit(run.number(),
        { .serviceClass = call.serviceClass, .budget = call.budget, .isExclusive = call.isExclusive },
        RuntimeClock::now()));
    const std::optional<LedgerAction> decision = co_await run.awaitSlot();
    if (!decision || run.interruption())
        co_return endInterruptedRun(run);
    if (const auto* rejection = std::get_if<RejectAction>(&*decision))
        co_return makeRejection(run, rejection->retryAfter);
    auto runResult = co_await (runOnServer(run) || run.awaitInterruption());
    if (auto* outcome = std::get_if<StageOutcome>(&runResult))
        co_return std::move(*outcome);
    co_return endInterruptedRun(run);
}

boost::asio::awaitable<StageOutcome> ReplicaHome::runOnServer(StageRun& run)
{
    StageOutcome outcome { .end = StageEndReason::Failed };
    if (!m_isHealthPolled)
        co_await pollHealth();
    const std::string incarnation = m_ledger.serverIncarnation();
    bool wasConnectionRefused = false;
    try {
        co_await streamFromServer(run, outcome);
        co_return outcome;
    } catch (const boost::system::system_error& error) {
        wasConnectionRefused = isConnectionRefused(error);
    } catch (const std::exception&) {
        // The stream was interrupted or contained invalid events.
        outcome.end = StageEndReason::Failed;
    }
    outcome.sent = run.isSent();
    if (run.interruption())
        co_return endInterruptedRun(run);
    apply(m_ledger.onConnectionLost(run.number(), RuntimeClock::now()));
    if (!outcome.sent) {
        if (wasConnectionRefused)
            apply(m_ledger.onServerGone(RuntimeClock::now()));
        co_return makeRejection(run, m_ledger.retryAfter(RuntimeClock::now()));
    }
    if (co_await probe(incarnation) == ProbeResult::Gone) {
        outcome.end = StageEndReason::Crashed;
        m_crashedAttempts.push_back(run.call().attempt);
        if (m_crashedAttempts.size() > maxListedCrashes)
            m_crashedAttempts.erase(m_crashedAttempts.begin());
    }
    co_return outcome;
}

boost::asio::awaitable<void> ReplicaHome::streamFromServer(StageRun& run, StageOutcome& outcome)
{
    // Notifies the coordinator before sending, so it can't report "not run" for a request that ran.
    Message sending = StageSentMessage { run.call().attempt };
    co_await run.relay(std::move(sending));
    HttpSendGate gate = [this, &run] { return confirmStart(run); };
    std::unique_ptr<HttpStream> stream
        = co_await m_client.open(makeRunRequest(run.call()), std::move(gate));
    outcome.sent = run.isSent();
    if (!stream) {
        apply(m_ledger.advance(RuntimeClock::now()));
        outcome = makeRejection(run, m_ledger.retryAfter(RuntimeClock::now()));
        co_return;
    }
    if (stream->status() != statusOk)
        co_return onErrorStatus(run, stream->status(), outcome);
    co_await relayEvents(run, std::move(stream), outcome);
}

bool ReplicaHome::confirmStart(StageRun& run)
{
    const bool isConfirmed = !run.interruption()
        && m_ledger.confirmStart(
            run.number(), *m_views.view(), m_options.server.id, RuntimeClock::now());
    if (isConfirmed)
        run.markSent();
    return isConfirmed;
}

boost::asio::awaitable<void> ReplicaHome::relayEvents(
    StageRun& run, std::unique_ptr<HttpStream> stream, StageOutcome& outcome)
{
    const bool isStreamed = run.call().kind == StageKind::Generate;
    BackendEventParser parser(run.call().resumeFrom);
    TimePoint lastEventAt = RuntimeClock::now();
    bool isFirst = true;
    while (const std::optional<std::string> chunk = co_await stream->read()) {
        for (BackendEvent& event : parser.feed(*chunk)) {
            if (const auto* done = std::get_if<BackendDone>(&event)) {
                outcome.end = StageEndReason::Finished;
                outcome.tokens = done->tokens;
                outcome.busy = done->busy;
                apply(m_ledger.onFinished(run.number(), RuntimeClock::now()));
                boost::asio::co_spawn(
                    m_executor, drainStream(std::move(stream)), boost::asio::detached);
                co_return;
            }
            auto& token = std::get<BackendToken>(event);
            const TimePoint now = RuntimeClock::now();
            if (!isFirst || !isStreamed)
                m_ledger.onStep(run.number(), now - lastEventAt);
            lastEventAt = now;
            isFirst = false;
            Message relayed = TokenMessage { token.index, std::move(token.text) };
            co_await run.relay(std::move(relayed));
        }
    }
    throw BackendEventError("response ended without a done event");
}

boost::asio::awaitable<ReplicaHome::ProbeResult> ReplicaHome::probe(std::string incarnationBefore)
{
    ProbeResult result = ProbeResult::Unknown;
    const TimePoint sentAt = RuntimeClock::now();
    m_isHealthPolled = true;
    try {
        HttpCall call { .target = "/health", .timeout = m_options.healthTimeout };
        const HttpResponse response = co_await m_client.send(std::move(call));
        const ServerReport report = parseReport(response.body);
        m_isReachable = true;
        const bool isNewProcess
            = !incarnationBefore.empty() && report.incarnation != incarnationBefore;
        result = isNewProcess ? ProbeResult::Gone : ProbeResult::SameProcess;
        apply(m_ledger.onReport(report, sentAt, RuntimeClock::now()));
    } catch (const boost::system::system_error& error) {
        m_isReachable = false;
        if (isConnectionRefused(error)) {
            result = ProbeResult::Gone;
            apply(m_ledger.onServerGone(RuntimeClock::now()));
        }
    } catch (const std::exception&) {
        result = ProbeResult::Unknown;
    }
    co_return result;
}

boost::asio::awaitable<void> ReplicaHome::pollHealth()
{
    co_await probe(std::string());
}

boost::asio::awaitable<OrderResult> ReplicaHome::sendOrder(std::string text)
{
    HttpCall call { .method = "POST",
        .target = "/orders",
        .body = makeOrderBody(text, m_ledger.since()),
        .timeout = m_options.healthTimeout };
    HttpSendGate gate = [this, since = m_ledger.since()] {
        return m_ledger.since() == since && canSendOrder(*m_views.view());
    };
    try {
        const std::unique_ptr<HttpStream> stream
            = co_await m_client.open(std::move(call), std::move(gate));
        if (!stream)
            co_return OrderResult::NotPermitted;
        if (stream->status() == statusConflict)
            co_return OrderResult::RefusedByServer;
        co_return stream->status() == statusOk ? OrderResult::Accepted : OrderResult::Failed;
    } catch (const std::exception&) {
        co_return OrderResult::Failed;
    }
}

bool ReplicaHome::canSendOrder(const ControlView& view) const
{
    const HomeAssignment* assignment = ownAssignment(view, m_options.server.id);
    const bool isHome = view.permits(RuntimeClock::now()) && assignment
        && assignment->since == m_ledger.since() && m_ledger.takeover();
    if (!isHome)
        return false;
    return m_options.server.checksOrders || m_ledger.takeover()->haveAllPredecessorsStopped();
}

void ReplicaHome::onErrorStatus(const StageRun& run, int status, StageOutcome& outcome)
{
    const TimePoint now = RuntimeClock::now();
    apply(status == statusUnavailable ? m_ledger.onRefused(run.number(), now)
                                      : m_ledger.onFailed(run.number(), now));
    outcome.end = StageEndReason::Failed;
    outcome.retryAfter = m_ledger.retryAfter(now);
}

void ReplicaHome::refresh()
{
    const std::shared_ptr<const ControlView> view = m_views.view();
    if (view->catalogue) {
        const auto declared = view->catalogue->servers.find(m_options.server.id);
        if (declared != view->catalogue->servers.end())
            m_ledger.setCapacityOptions(capacityOptionsOf(declared->second));
    }
    apply(m_ledger.onView(*view, m_options.server.id, RuntimeClock::now()));
}

HomeReleasedMessage ReplicaHome::release(ObjectVersion since)
{
    std::vector<Predecessor> unresolved = m_ledger.unresolved();
    const int inFlight = m_ledger.release(since);
    const std::shared_ptr<const ControlView> view = m_views.view();
    apply(m_ledger.advance(RuntimeClock::now()));
    return { .incarnation = view->incarnation,
        .inFlight = inFlight,
        .cap = m_ledger.earnedCap(),
        .normalStepTime = m_ledger.normalStepTime(),
        .serverIncarnation = m_ledger.serverIncarnation(),
        .unresolved = std::move(unresolved) };
}

void ReplicaHome::onPredecessorGone(const Predecessor& predecessor)
{
    if (m_ledger.takeover())
        m_ledger.takeover()->onPredecessorGone(predecessor, RuntimeClock::now());
}

void ReplicaHome::onPredecessorReleased(
    const Predecessor& predecessor, const HomeReleasedMessage& response)
{
    if (response.incarnation != predecessor.incarnation)
        return onPredecessorGone(predecessor);
    if (!m_ledger.takeover())
        return;
    m_ledger.takeover()->onPredecessorStopped(
        predecessor, response.inFlight, response.unresolved, RuntimeClock::now());
    m_ledger.inheritCapacity(response.cap, response.normalStepTime, response.serverIncarnation);
    apply(m_ledger.advance(RuntimeClock::now()));
}

StageOutcome ReplicaHome::endInterruptedRun(const StageRun& run)
{
    apply(m_ledger.onCancelled(run.number(), RuntimeClock::now()));
    const bool isTimedOut = run.interruption() != RunInterruption::PeerDisconnected;
    return { .end = isTimedOut ? StageEndReason::TimedOut : StageEndReason::Cancelled,
        .sent = run.isSent() };
}

StageOutcome ReplicaHome::makeRejection(const StageRun& run, Milliseconds retryAfter) const
{
    return { .attempt = run.call().attempt, .end = StageEndReason::Rejected, .retryAfter = retryAfter };
}

void ReplicaHome::apply(const LedgerActions& actions)
{
    for (const LedgerAction& action : actions) {
        const CallNumber number
            = std::visit([](const auto& alternative) { return alternative.number; }, action);
        const auto found = m_runs.find(number);
        if (found != m_runs.end())
            found->second->onDecision(action);
    }
}

HttpCall ReplicaHome::makeRunRequest(const StageCall& call) const
{
    const boost::json::object body { { "stage", stageKindName(call.kind) },
        { "input", call.input }, { "max_tokens", call.maxTokens },
        { "resume_from", call.resumeFrom }, { "priority", priorityOf(call.serviceClass) } };
    return { .method = "POST",
        .target = "/run",
        .fields = { { "Content-Type", "application/json" },
            { "X-Attempt", formatAttemptId(call.attempt) } },
        .body = boost::json::serialize(body),
        .timeout = std::max(call.budget, Milliseconds(1)) };
}

boost::json::value ReplicaHome::dump() const
{
    boost::json::array crashedAttempts;
    for (const AttemptId& attempt : m_crashedAttempts)
        crashedAttempts.emplace_back(formatAttemptId(attempt));
    boost::json::array unresolved;
    for (const Predecessor& predecessor : m_ledger.unresolved())
        unresolved.emplace_back(predecessor.host.value() + "/" + predecessor.incarnation);
    return boost::json::object { { "server", m_options.server.id.value() },
        { "since", m_ledger.since() }, { "condition", startConditionName(m_ledger.condition()) },
        { "in_flight", m_ledger.inFlight() }, { "queued", m_ledger.queueLength() },
        { "cap", m_ledger.cap() }, { "cold", m_ledger.isCold() },
        { "server_incarnation", m_ledger.serverIncarnation() }, { "reachable", m_isReachable },
        { "unresolved_predecessors", unresolved }, { "last_crashed_attempts", crashedAttempts } };
}

}
