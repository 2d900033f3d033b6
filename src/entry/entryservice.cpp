#include "entry/entryservice.h"

#include "entry/submission.h"
#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"

#include <boost/json.hpp>

namespace Apricot {

namespace Asio = boost::asio;
namespace Json = boost::json;

namespace {

    constexpr int statusOk = 200;
    constexpr int statusNotFound = 404;
    constexpr int statusMethodNotAllowed = 405;
    constexpr int statusUnavailable = 503;
    constexpr Milliseconds coordinatorConnectTimeout { 1000 };
    constexpr Milliseconds failoverDelay { 100 };
    // How many times each coordinator is tried before the caller is asked to retry later.
    constexpr std::size_t coordinatorRounds = 2;
    constexpr Milliseconds noEvidenceRetryAfter { 1000 };
    constexpr std::string_view jsonType = "application/json";

    // Live members, ordered by rank for a key. The first is its coordinator.
    std::vector<Member> rankCoordinators(const CellState& cell, const RequestKey& key)
    {
        std::vector<HostId> hosts;
        hosts.reserve(cell.members.size());
        for (const Member& member : cell.members) {
            if (member.state == MemberState::Live)
                hosts.push_back(member.host);
        }
        std::vector<Member> ranked;
        ranked.reserve(hosts.size());
        for (const HostId& host : rankHosts(key.value(), hosts))
            ranked.push_back(*cell.findMember(host));
        return ranked;
    }

    Refusal makeNoCoordinatorRefusal(const SubmitMessage& submission, RefusalReason reason)
    {
        return Refusal {
            .reason = reason,
            // A key that was generated here and never left this host can't have run anywhere.
            .ran = submission.keyFromCaller ? RanState::Unknown : RanState::NotRun,
            .retryAfter = noEvidenceRetryAfter,
            .detail = "no coordinator can be reached; send the same key again",
        };
    }

}

void EntryService::RelayState::recordAttempt()
{
    submission.keyFromCaller = true;
    lastRefusal.ran = RanState::Unknown;
}

RequestTiming EntryService::RelayState::timing(TimePoint now) const
{
    RequestTiming timing { .elapsed = now - startedAt, .deadline = deadline - startedAt };
    if (firstToken)
        timing.firstToken = *firstToken - startedAt;
    return timing;
}

EntryService::EntryService(
    Asio::io_context& context, const ControlViewSource& source, PeerClient& peers,
    MetricRegistry& metrics)
    : m_context(context)
    , m_source(source)
    , m_peers(peers)
    , m_requestMetrics(metrics)
{
}

Asio::awaitable<void> EntryService::serve(HttpExchange& exchange)
{
    if (exchange.request().path == "/health") {
        co_await serveHealth(exchange);
        co_return;
    }
    if (pipelineOfPath(exchange.request().path).empty()) {
        co_await exchange.respond(
            statusNotFound, std::string(jsonType), R"({"error":"no such path"})");
        co_return;
    }
    if (exchange.request().method != "POST") {
        co_await exchange.respond(
            statusMethodNotAllowed, std::string(jsonType), R"({"error":"use POST"})");
        co_return;
    }
    co_await serveSubmission(exchange);
}

bool EntryService::isReady() const
{
    const auto view = m_source.view();
    return !m_stopping && view && view->catalogue && view->permits(RuntimeClock::now());
}

Asio::awaitable<void> EntryService::serveHealth(HttpExchange& exchange)
{
    const bool isServing = isReady();
    std::string body = isServing ? R"({"ready":true})" : R"({"ready":false})";
    co_await exchange.respond(
        isServing ? statusOk : statusUnavailable, std::string(jsonType), std::move(body));
}

Asio::awaitable<void> EntryService::serveSubmission(HttpExchange& exchange)
{
    ++m_counts.received;
    const auto view = m_source.view();
    SubmitMessage submission;
    std::optional<Refusal> refusal;
    try {
        static const Catalogue noCatalogue;
        submission = parseSubmission(
            exchange.request(), view && view->catalogue ? *view->catalogue : noCatalogue);
        if (!view || !view->permits(RuntimeClock::now()))
            refusal = makeNoCoordinatorRefusal(submission, RefusalReason::NoEvidence);
    } catch (const SubmissionError& error) {
        const bool hasKey = !exchange.request().field("Idempotency-Key").empty();
        refusal = Refusal { .reason = error.reason(),
            .ran = hasKey ? RanState::Unknown : RanState::NotRun,
            .detail = error.what() };
        if (!view || !view->catalogue)
            refusal = makeNoCoordinatorRefusal(submission, RefusalReason::NoEvidence);
    }
    if (refusal) {
        ++m_counts.refused;
        ResponseWriter writer(exchange, submission.key);
        co_await writer.writeRefusal(*refusal);
        co_return;
    }
    std::shared_ptr<const CatalogueEntry> entry(
        view->catalogue, &view->catalogue->entries.at(submission.pipeline));
    co_await relay(exchange, std::move(submission), std::move(entry));
}

Asio::awaitable<void> EntryService::relay(HttpExchange& exchange, SubmitMessage submission,
    std::shared_ptr<const CatalogueEntry> entry)
{
    ResponseWriter writer(exchange, submission.key);
    const TimePoint startedAt = RuntimeClock::now();
    const TimePoint deadline = startedAt + submission.budget;
    RelayState state { .submission = std::move(submission),
        .startedAt = startedAt,
        .deadline = deadline,
        .entry = std::move(entry) };
    state.lastRefusal = makeNoCoordinatorRefusal(state.submission, RefusalReason::NoEvidence);
    for (std::size_t failures = 0; !exchange.isPeerDisconnected(); ++failures) {
        const std::vector<Member> ranked
            = rankCoordinators(*m_source.view()->cell, state.submission.key);
        const Milliseconds remaining { millisecondsBetween(RuntimeClock::now(), state.deadline) };
        if (remaining.count() <= 0 || failures >= coordinatorRounds * ranked.size())
            break;
        state.submission.budget = remaining;
        if (co_await submitTo(ranked[failures % ranked.size()], state, writer, exchange))
            co_return;
        ++m_counts.resumed;
        if ((failures + 1) % ranked.size() != 0)
            continue;
        state.submission.unreachable.clear();
        co_await sleepFor(m_context.get_executor(), failoverDelay);
    }
    if (exchange.isPeerDisconnected()) {
        ++m_counts.abandoned;
        m_requestMetrics.recordAbandoned(*state.entry);
        co_return;
    }
    ++m_counts.refused;
    m_requestMetrics.recordRefused(*state.entry, state.lastRefusal);
    co_await writer.writeRefusal(state.lastRefusal);
}

Asio::awaitable<bool> EntryService::submitTo(const Member& coordinator,
    RelayState& state, ResponseWriter& writer, HttpExchange& exchange)
{
    const PeerEndpoint endpoint { coordinator.address, coordinator.port };
    std::shared_ptr<PeerStream> stream;
    try {
        Message message = state.submission;
        stream = co_await m_peers.open(endpoint, std::move(message), coordinatorConnectTimeout);
    } catch (const PeerError& error) {
        // Nothing was sent over a refused connection; after any other failure the request may be
        // running.
        if (error.failure() != PeerFailure::Refused)
            state.recordAttempt();
        state.submission.unreachable.push_back(coordinator.host);
        co_return false;
    }
    state.recordAttempt();
    exchange.setPeerDisconnectedHandler([stream] { stream->cancel(); });
    bool isServed = false;
    try {
        isServed = co_await relayMessages(*stream, coordinator.host, state, writer);
    } catch (const PeerError&) {
        state.submission.unreachable.push_back(coordinator.host);
    }
    exchange.setPeerDisconnectedHandler(nullptr);
    co_return isServed;
}

Asio::awaitable<bool> EntryService::relayMessages(
    PeerStream& stream, HostId coordinator, RelayState& state, ResponseWriter& writer)
{
    while (std::optional<Message> message = co_await stream.read()) {
        if (const auto* token = std::get_if<TokenMessage>(&*message)) {
            if (token->index != state.submission.resumeFrom)
                continue;
            ++state.submission.resumeFrom;
            if (!state.firstToken)
                state.firstToken = RuntimeClock::now();
            co_await writer.writeToken(*token);
        } else if (const auto* completed = std::get_if<CompletedMessage>(&*message)) {
            // A response with missing tokens is never marked complete; the rest is requested again.
            if (completed->tokens != state.submission.resumeFrom)
                co_return false;
            ++m_counts.completed;
            m_requestMetrics.recordCompleted(
                *state.entry, state.timing(RuntimeClock::now()), completed->costs);
            co_await writer.writeCompleted(*completed);
            co_return true;
        } else if (const auto* refused = std::get_if<RefusedMessage>(&*message)) {
            if (isHostSpecific(refused->refusal.reason)) {
                state.lastRefusal = refused->refusal;
                state.submission.unreachable.push_back(coordinator);
                co_return false;
            }
            ++m_counts.refused;
            m_requestMetrics.recordRefused(*state.entry, refused->refusal);
            co_await writer.writeRefusal(refused->refusal);
            co_return true;
        }
    }
    co_return false;
}

void EntryService::writeMetrics(MetricRegistry& metrics) const
{
    const auto set = [&metrics](const std::string& outcome, std::uint64_t count) {
        metrics
            .gauge("apricot_entry_requests", "Requests since the start, by outcome",
                { { "outcome", outcome } })
            .set(static_cast<double>(count));
    };
    set("received", m_counts.received.load());
    set("completed", m_counts.completed.load());
    set("refused", m_counts.refused.load());
    set("resumed", m_counts.resumed.load());
    set("abandoned", m_counts.abandoned.load());
    metrics.gauge("apricot_entry_ready", "1 while new requests are taken")
        .set(isReady() ? 1 : 0);
}

Json::value EntryService::dump() const
{
    const auto view = m_source.view();
    Json::object state {
        { "ready", isReady() },
        { "stopping", m_stopping.load() },
        { "received", m_counts.received.load() },
        { "completed", m_counts.completed.load() },
        { "refused", m_counts.refused.load() },
        { "resumed", m_counts.resumed.load() },
        { "abandoned", m_counts.abandoned.load() },
    };
    if (view && view->catalogue) {
        state["catalogue_version"] = view->catalogue->version;
        state["epoch"] = view->epoch;
    }
    return state;
}

}
