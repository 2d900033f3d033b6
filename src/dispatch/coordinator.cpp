#include "dispatch/coordinator.h"

#include "dispatch/callerwatch.h"
#include "dispatch/memberorder.h"
#include "libapricot/scopedcount.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr Milliseconds relayTimeout { 500 };
    constexpr Milliseconds observationInterval { 200 };
    constexpr Milliseconds evictionInterval { 1000 };
    constexpr Milliseconds drainInterval { 20 };
    // Retry delay for callers of a host that accepts no new work. The retry may go to another host.
    constexpr Milliseconds unavailableRetryAfter { 1000 };

    Refusal makeRefusal(RefusalReason reason, std::string detail, Milliseconds retryAfter)
    {
        return Refusal { .reason = reason,
            .ran = RanState::NotRun,
            .retryAfter = retryAfter,
            .detail = std::move(detail) };
    }

    // Refusal of a request that another host may be running, so that it is unknown whether it ran.
    Refusal makeUnknownStateRefusal(std::string detail)
    {
        return Refusal { .reason = RefusalReason::NoEvidence,
            .ran = RanState::Unknown,
            .retryAfter = unavailableRetryAfter,
            .detail = std::move(detail) };
    }

    WallTime wallNow()
    {
        return std::chrono::floor<Milliseconds>(std::chrono::system_clock::now());
    }

    Milliseconds budgetOf(const SubmitMessage& submit, const CatalogueEntry& entry)
    {
        if (submit.budget <= Milliseconds(0))
            return entry.deadline;
        return std::min(submit.budget, entry.deadline);
    }

    int totalTokens(const std::vector<StageCost>& costs)
    {
        std::uint64_t tokens = 0;
        for (const StageCost& cost : costs)
            tokens += cost.tokens;
        return static_cast<int>(tokens);
    }

    // Forwards messages until the sender has finished. Returns whether a final message was among
    // them; a refusal that only concerns the sender's host is not final and isn't forwarded.
    Asio::awaitable<bool> forwardMessages(
        std::shared_ptr<PeerStream> from, std::shared_ptr<PeerStream> to, SubmitMessage& submit)
    {
        while (std::optional<Message> message = co_await from->read()) {
            const auto* token = std::get_if<TokenMessage>(&*message);
            const auto* refused = std::get_if<RefusedMessage>(&*message);
            if (refused && isHostSpecific(refused->refusal.reason))
                co_return false;
            if (token)
                submit.resumeFrom = token->index + 1;
            const bool isFinal = !token;
            co_await to->write(std::move(*message));
            if (isFinal)
                co_return true;
        }
        co_return false;
    }

    // Highest-ranked host for a request that was not found unreachable for it. Only the first three
    // may run it, as its record is stored on two of these.
    HostId homeOf(const ControlView& view, const SubmitMessage& submit)
    {
        const std::vector<HostId>& skipped = submit.unreachable;
        std::vector<Member> ranked = rankLiveMembers(view, submit.key.value());
        ranked.resize(std::min(ranked.size(), recordHoldersPerKey));
        for (const Member& member : ranked) {
            if (std::find(skipped.begin(), skipped.end(), member.host) == skipped.end())
                return member.host;
        }
        return {};
    }

}

Coordinator::Coordinator(RunnerServices services)
    : m_services(services)
{
}

Asio::awaitable<void> Coordinator::serve(std::shared_ptr<PeerStream> stream, SubmitMessage submit)
{
    return serveSubmit(std::move(stream), std::move(submit), SubmissionSource::Caller);
}

Asio::awaitable<void> Coordinator::serve(
    std::shared_ptr<PeerStream> stream, RelayedSubmitMessage relayed)
{
    return serveSubmit(std::move(stream), std::move(relayed.submit), SubmissionSource::Relay);
}

Asio::awaitable<void> Coordinator::serve(std::shared_ptr<PeerStream> stream, PoisonMessage message)
{
    m_services.poison.apply(message.notice, RuntimeClock::now());
    co_await stream->write(message);
    stream->finish();
}

Asio::awaitable<void> Coordinator::serveSubmit(
    std::shared_ptr<PeerStream> stream, SubmitMessage submit, SubmissionSource source)
{
    const ScopedCount count(m_callers);
    ++m_served;
    maintain();
    const std::shared_ptr<const ControlView> view = m_services.views.view();
    const auto entry = view->catalogue->entries.find(submit.pipeline);
    if (entry == view->catalogue->entries.end()) {
        Refusal refusal
            = makeRefusal(RefusalReason::UnknownPipeline, "no such pipeline", Milliseconds(0));
        co_await refuse(stream, submit, std::move(refusal));
        co_return;
    }
    const TimePoint now = RuntimeClock::now();
    submit.budget = budgetOf(submit, entry->second);
    const TimePoint deadline = now + submit.budget;
    if (isActive(submit.key)) {
        co_await run(stream, std::move(submit), entry->second, deadline, source);
        co_return;
    }
    const HostId home = homeOf(*view, submit);
    const bool isHome = home == view->self;
    if (!isHome && !home.empty() && source == SubmissionSource::Caller) {
        co_await relay(stream, std::move(submit), home);
        co_return;
    }
    std::optional<Refusal> refusal = checkNewRequest(*view);
    if (!isHome && !refusal)
        refusal = makeUnknownStateRefusal("this host is not home of the key");
    LoadControl* const load = m_services.load;
    if (!refusal && load)
        refusal = load->admit(entry->second, *view, deadline, now);
    if (refusal) {
        co_await refuse(stream, submit, *refusal);
        co_return;
    }
    std::optional<AdmittedRequest> admitted;
    if (load)
        admitted.emplace(*load, entry->second);
    const RequestKey key = submit.key;
    co_await run(stream, std::move(submit), entry->second, deadline, source);
    const std::shared_ptr<RequestRecord> record = m_services.records.find(key);
    if (admitted && record)
        admitted->setTokens(totalTokens(record->copy().costs));
}

std::optional<Refusal> Coordinator::checkNewRequest(const ControlView& view) const
{
    if (view.stopping)
        return makeRefusal(RefusalReason::Stopping, "this host is stopping", unavailableRetryAfter);
    if (!view.permits(RuntimeClock::now()))
        return makeRefusal(RefusalReason::NoEvidence,
            "this host does not know whether its configuration is the newest",
            unavailableRetryAfter);
    return std::nullopt;
}

Asio::awaitable<void> Coordinator::run(std::shared_ptr<PeerStream> stream, SubmitMessage submit,
    const CatalogueEntry& entry, TimePoint deadline, SubmissionSource source)
{
    const TimePoint now = RuntimeClock::now();
    const IncomingRequest incoming { .key = submit.key,
        .keyFromCaller = submit.keyFromCaller,
        .input = submit.input };
    const auto opened = m_services.records.open(incoming, entry, now, wallNow());
    if (const auto* refusal = std::get_if<Refusal>(&opened)) {
        co_await refuse(stream, submit, *refusal);
        co_return;
    }
    const std::shared_ptr<RequestRunner> runner
        = findOrCreateRunner(std::get<std::shared_ptr<RequestRecord>>(opened));
    const CallerOutcome outcome = co_await runner->serve(stream, submit, deadline);
    if (outcome == CallerOutcome::Responded)
        stream->finish();
    if (outcome != CallerOutcome::RunsElsewhere)
        co_return;
    submit.budget = std::chrono::floor<Milliseconds>(deadline - RuntimeClock::now());
    const HostId host = runner->record()->runningElsewhere();
    if (source == SubmissionSource::Caller && submit.budget > Milliseconds(0)) {
        co_await relay(stream, std::move(submit), host);
        co_return;
    }
    Refusal refusal = makeUnknownStateRefusal("another host runs the request");
    co_await refuse(stream, submit, std::move(refusal));
}

Asio::awaitable<void> Coordinator::relay(
    std::shared_ptr<PeerStream> stream, SubmitMessage submit, HostId host)
{
    ++m_relayed;
    const TimePoint startedAt = RuntimeClock::now();
    bool isServed = false;
    try {
        isServed = co_await relayToHost(stream, submit, host);
    } catch (const std::runtime_error&) {
        // The other host could not be reached or has disconnected; the next one runs the request.
    }
    if (isServed) {
        stream->finish();
        co_return;
    }
    // The host with the next rank holds the copy of the record. It may be this one.
    submit.unreachable.push_back(host);
    submit.keyFromCaller = true;
    submit.budget -= std::chrono::ceil<Milliseconds>(RuntimeClock::now() - startedAt);
    if (submit.budget > Milliseconds(0)) {
        co_await serveSubmit(std::move(stream), std::move(submit), SubmissionSource::Caller);
        co_return;
    }
    Refusal refusal = makeUnknownStateRefusal("the host of the request's key does not answer");
    co_await refuse(stream, submit, std::move(refusal));
}

Asio::awaitable<bool> Coordinator::relayToHost(
    std::shared_ptr<PeerStream> stream, SubmitMessage& submit, const HostId& host)
{
    using namespace Asio::experimental::awaitable_operators;
    const std::optional<PeerEndpoint> endpoint = findEndpoint(*m_services.views.view(), host);
    if (!endpoint)
        co_return false;
    Message first = RelayedSubmitMessage { .submit = submit };
    const std::shared_ptr<PeerStream> upstream
        = co_await m_services.peers.open(*endpoint, std::move(first), relayTimeout);
    const auto ended = co_await (forwardMessages(upstream, stream, submit)
        || waitUntilClosed(stream)
        || sleepFor(m_services.context.get_executor(), submit.budget));
    if (ended.index() == 0)
        co_return std::get<0>(ended);
    co_return ended.index() == 1;
}

Asio::awaitable<void> Coordinator::refuse(
    std::shared_ptr<PeerStream> stream, const SubmitMessage& submit, Refusal refusal)
{
    const IncomingRequest incoming { .key = submit.key, .keyFromCaller = submit.keyFromCaller };
    ++m_refused[refusal.reason];
    Message response = RefusedMessage { .refusal
        = m_services.records.limitToKnownRecords(refusal, incoming, {}, RuntimeClock::now()) };
    co_await stream->write(std::move(response));
    stream->finish();
}

std::shared_ptr<RequestRunner> Coordinator::findOrCreateRunner(
    const std::shared_ptr<RequestRecord>& record)
{
    std::weak_ptr<RequestRunner>& cached = m_runners[record->copy().key];
    std::shared_ptr<RequestRunner> runner = cached.lock();
    if (runner && runner->record() == record)
        return runner;
    runner = std::make_shared<RequestRunner>(record, m_services);
    cached = runner;
    return runner;
}

bool Coordinator::isActive(const RequestKey& key) const
{
    const std::shared_ptr<RequestRecord> record = m_services.records.find(key);
    return record && (record->isRunning() || record->isFinished());
}

void Coordinator::maintain()
{
    const std::shared_ptr<const ControlView> view = m_services.views.view();
    const TimePoint now = RuntimeClock::now();
    if (view->epoch == m_observedEpoch && now < m_observedAt + observationInterval)
        return;
    m_observedEpoch = view->epoch;
    m_observedAt = now;
    m_services.records.coverage().observe(rankLiveMembers(*view, std::string()), now);
    if (now < m_evictedAt + evictionInterval)
        return;
    m_evictedAt = now;
    m_services.records.evict(now);
    std::erase_if(m_runners, [](const auto& entry) { return entry.second.expired(); });
}

Asio::awaitable<void> Coordinator::drain()
{
    while (m_callers > 0 || runningRecords() > 0)
        co_await sleepFor(m_services.context.get_executor(), drainInterval);
}

std::size_t Coordinator::runningRecords() const
{
    const auto& records = m_services.records.records();
    return static_cast<std::size_t>(std::count_if(records.begin(), records.end(),
        [](const auto& entry) { return entry.second->isRunning(); }));
}

boost::json::value Coordinator::dump() const
{
    boost::json::array running;
    for (const auto& [key, record] : m_services.records.records()) {
        if (!record->isRunning())
            continue;
        running.push_back(boost::json::object { { "key", key.value() },
            { "pipeline", record->copy().pipeline.value() }, { "phase", record->phaseName() },
            { "stages_finished", record->copy().results.size() },
            { "callers", record->callerCount() },
            { "dropped_answers", record->droppedResponses() } });
    }
    boost::json::object refused;
    for (const auto& [reason, count] : m_refused)
        refused[refusalReasonName(reason)] = count;
    return boost::json::object { { "callers", m_callers }, { "served", m_served },
        { "relayed", m_relayed }, { "records", m_services.records.recordCount() },
        { "copies", m_services.records.copyCount() }, { "running", std::move(running) },
        { "refused", std::move(refused) }, { "retries_saved", m_services.retries.available() },
        { "poison", m_services.poison.size() } };
}

}
