#include "dispatch/requestrunner.h"

#include "dispatch/callerwatch.h"
#include "dispatch/memberorder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr Milliseconds connectTimeout { 500 };
    // Delay before a copy is sent again after no follower could be reached.
    constexpr Milliseconds copyRetryInterval { 100 };

    Message toMessage(const CallerStep& step)
    {
        if (const auto* token = std::get_if<CallerToken>(&step))
            return TokenMessage { .index = token->index, .text = token->text };
        if (const auto* completed = std::get_if<CallerCompleted>(&step))
            return CompletedMessage { .tokens = completed->tokens, .costs = completed->costs };
        return RefusedMessage { .refusal = std::get<Refusal>(step) };
    }

    // Registers a timer in a set while a coroutine waits on it.
    class TimerRegistration {
    public:
        TimerRegistration(std::set<RuntimeTimer*>& waiting, RuntimeTimer& timer)
            : m_waitingTimers(waiting)
            , m_timer(timer)
        {
            m_waitingTimers.insert(&m_timer);
        }
        ~TimerRegistration() { m_waitingTimers.erase(&m_timer); }

        TimerRegistration(const TimerRegistration&) = delete;
        TimerRegistration& operator=(const TimerRegistration&) = delete;

    private:
        std::set<RuntimeTimer*>& m_waitingTimers;
        RuntimeTimer& m_timer;
    };

}

RequestRunner::RequestRunner(std::shared_ptr<RequestRecord> record, RunnerServices& services)
    : m_record(std::move(record))
    , m_services(services)
    , m_tickTimer(services.context)
{
}

Asio::awaitable<CallerOutcome> RequestRunner::serve(
    std::shared_ptr<PeerStream> stream, SubmitMessage& submit, TimePoint deadline)
{
    using namespace Asio::experimental::awaitable_operators;
    const std::shared_ptr<RequestRunner> self = shared_from_this();
    RequestActions actions;
    const CallerId caller = m_record->attach(
        submit.resumeFrom, deadline, context(), RuntimeClock::now(), actions);
    perform(std::move(actions));
    CallerOutcome outcome = CallerOutcome::Disconnected;
    try {
        const IncomingRequest incoming { .key = submit.key, .keyFromCaller = submit.keyFromCaller };
        const auto ended
            = co_await (respond(stream, caller, incoming) || waitUntilClosed(stream));
        if (ended.index() == 0)
            outcome = std::get<0>(ended);
    } catch (const std::exception&) {
        outcome = CallerOutcome::Disconnected;
    }
    submit.resumeFrom = m_record->positionOf(caller);
    RequestActions afterwards;
    m_record->detach(caller, RuntimeClock::now(), afterwards);
    perform(std::move(afterwards));
    co_return outcome;
}

Asio::awaitable<CallerOutcome> RequestRunner::respond(
    std::shared_ptr<PeerStream> stream, CallerId caller, IncomingRequest incoming)
{
    while (m_record->runningElsewhere().empty()) {
        const TimePoint now = RuntimeClock::now();
        std::optional<CallerStep> step = m_record->next(caller, now);
        if (!step) {
            co_await waitForChange(m_record->deadlineOf(caller));
            continue;
        }
        if (auto* refusal = std::get_if<Refusal>(&*step))
            step = m_services.records.limitToKnownRecords(*refusal, incoming, m_openingResponses, now);
        co_await stream->write(toMessage(*step));
        if (!std::holds_alternative<CallerToken>(*step))
            co_return CallerOutcome::Responded;
    }
    co_return CallerOutcome::RunsElsewhere;
}

Asio::awaitable<void> RequestRunner::waitForChange(TimePoint deadline)
{
    RuntimeTimer timer(m_services.context, deadline);
    const TimerRegistration registration(m_waitingTimers, timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

RequestContext RequestRunner::context() const
{
    return { .retries = m_services.retries,
        .poison = m_services.poison,
        .epoch = m_services.views.view()->epoch,
        .canClaim = !m_services.claims.isUnavailable() };
}

void RequestRunner::perform(RequestActions actions)
{
    for (const RequestAction& action : actions)
        std::visit([this](const auto& alternative) { performAction(alternative); }, action);
    notifyAll();
    scheduleTick();
}

void RequestRunner::notifyAll()
{
    for (RuntimeTimer* timer : m_waitingTimers)
        timer->cancel();
}

void RequestRunner::scheduleTick()
{
    const std::optional<TimePoint> next = m_record->nextTick();
    m_tickTimer.cancel();
    if (!next)
        return;
    m_tickTimer.expires_at(*next);
    m_tickTimer.async_wait([self = shared_from_this()](boost::system::error_code error) {
        if (error)
            return;
        RequestActions actions;
        self->m_record->tick(self->context(), RuntimeClock::now(), actions);
        self->perform(std::move(actions));
    });
}

void RequestRunner::performAction(const StoreCopyAction& action)
{
    if (action.opening)
        m_openingResponses.clear();
    Asio::co_spawn(m_services.context, storeCopy(action), Asio::detached);
}

void RequestRunner::performAction(const ClaimAction& action)
{
    Asio::co_spawn(m_services.context, claim(action), Asio::detached);
}

void RequestRunner::performAction(const StartAttemptAction& action)
{
    const TimePoint now = RuntimeClock::now();
    const std::shared_ptr<const ControlView> view = m_services.views.view();
    const std::optional<BackendServerId> server = m_services.router.chooseForInput(
        *view, action.stage, action.attempt.key, action.input,
        excludedServers(*view, action, now), now);
    if (!server)
        return m_record->onUnrouted(action.attempt, now);
    m_record->onRouted(action.attempt, *server);
    m_attempts[action.attempt] = {};
    Asio::co_spawn(m_services.context, runAttempt(action, *server), Asio::detached);
}

void RequestRunner::performAction(const CancelAttemptAction& action)
{
    const auto found = m_attempts.find(action.attempt);
    if (found == m_attempts.end())
        return;
    found->second.cancelled = true;
    if (found->second.stream)
        found->second.stream->cancel();
}

void RequestRunner::performAction(const SendPoisonNoticeAction& action)
{
    const std::shared_ptr<const ControlView> view = m_services.views.view();
    for (const Member& member : view->cell->members) {
        if (member.host == view->self)
            continue;
        const PeerEndpoint endpoint { .address = member.address, .port = member.port };
        Asio::co_spawn(m_services.context,
            m_services.peers.call(
                endpoint, PoisonMessage { .notice = action.notice }, connectTimeout),
            [](const std::exception_ptr& /*error*/, const Message& /*response*/) {});
    }
}

Asio::awaitable<void> RequestRunner::storeCopy(StoreCopyAction action)
{
    const std::shared_ptr<RequestRunner> self = shared_from_this();
    const std::uint64_t revision = action.copy.revision;
    std::vector<CopyResponse> responses = co_await m_services.recordService.replicate(action);
    while (responses.empty() && m_record->isAwaitingCopy(revision) && m_record->callerCount() > 0) {
        co_await sleepFor(m_services.context.get_executor(), copyRetryInterval);
        responses = co_await m_services.recordService.replicate(action);
    }
    if (action.opening)
        m_openingResponses = responses;
    RequestActions actions;
    if (!responses.empty() || action.copy.finished)
        m_record->onCopyStored(
            revision, mergeResponses(responses), context(), RuntimeClock::now(), actions);
    perform(std::move(actions));
}

Asio::awaitable<void> RequestRunner::claim(ClaimAction action)
{
    const std::shared_ptr<RequestRunner> self = shared_from_this();
    const ClaimResponse response
        = co_await m_services.claims.claim(action, m_record->claimBudget(RuntimeClock::now()));
    RequestActions actions;
    m_record->onClaimResponse(response, context(), RuntimeClock::now(), actions);
    perform(std::move(actions));
}

Asio::awaitable<void> RequestRunner::runAttempt(StartAttemptAction action, BackendServerId server)
{
    const std::shared_ptr<RequestRunner> self = shared_from_this();
    const TimePoint startedAt = RuntimeClock::now();
    StageOutcome outcome = co_await callHome(action, server);
    if (m_attempts[action.attempt].cancelled && outcome.end == StageEndReason::Failed)
        outcome.end = StageEndReason::Cancelled;
    m_attempts.erase(action.attempt);
    const TimePoint now = RuntimeClock::now();
    m_services.router.recordOutcome(outcome, server, now);
    if (m_services.load)
        m_services.load->onAttemptEnded(m_record->entry(), outcome, now - startedAt, now);
    RequestActions actions;
    m_record->onAttemptEnded(outcome, context(), RuntimeClock::now(), actions);
    perform(std::move(actions));
}

Asio::awaitable<StageOutcome> RequestRunner::callHome(
    const StartAttemptAction& action, const BackendServerId& server)
{
    StageOutcome outcome { .attempt = action.attempt, .end = StageEndReason::Rejected };
    const std::shared_ptr<const ControlView> view = m_services.views.view();
    const auto home = view->cell->homes.find(server);
    if (home == view->cell->homes.end())
        co_return outcome;
    const std::optional<PeerEndpoint> endpoint = findEndpoint(*view, home->second.home);
    if (!endpoint)
        co_return outcome;
    const CatalogueEntry& entry = m_record->entry();
    StageCallMessage message { .call = { .attempt = action.attempt,
                                   .server = server,
                                   .kind = action.stage.kind,
                                   .serviceClass = entry.serviceClass,
                                   .owner = entry.owner,
                                   .input = action.input,
                                   .maxTokens = action.stage.maxTokens,
                                   .resumeFrom = action.resumeFrom,
                                   .budget = action.budget,
                                   .idempotent = action.stage.idempotent,
                                   .isExclusive = action.isExclusive } };
    std::shared_ptr<PeerStream> stream;
    try {
        stream = co_await m_services.peers.open(*endpoint, std::move(message), connectTimeout);
    } catch (const PeerError& error) {
        m_services.unresponsiveHomes.recordTimeout(home->second.home, RuntimeClock::now());
        if (error.failure() == PeerFailure::Refused)
            co_return outcome;
    } catch (const std::runtime_error&) {
        // Treated like a peer that may have received the message.
    }
    if (stream)
        co_return co_await readOutcome(
            std::move(stream), action.attempt, home->second.home);
    outcome.end = StageEndReason::Failed;
    outcome.sent = true;
    co_return outcome;
}

std::vector<BackendServerId> RequestRunner::excludedServers(
    const ControlView& view, const StartAttemptAction& action, TimePoint now) const
{
    std::vector<BackendServerId> excluded
        = m_services.unresponsiveHomes.serversWithUnresponsiveHome(view, action.stage.pool, now);
    excluded.insert(excluded.end(), action.excluded.begin(), action.excluded.end());
    return excluded;
}

Asio::awaitable<StageOutcome> RequestRunner::readOutcome(
    std::shared_ptr<PeerStream> stream, AttemptId attempt, HostId home)
{
    OpenAttempt& open = m_attempts[attempt];
    open.stream = stream;
    if (open.cancelled)
        stream->cancel();
    try {
        while (std::optional<Message> message = co_await stream->read()) {
            if (auto* ended = std::get_if<StageEndedMessage>(&*message)) {
                stream->finish();
                m_services.unresponsiveHomes.recordResponse(home);
                co_return std::move(ended->outcome);
            }
            const auto* token = std::get_if<TokenMessage>(&*message);
            if (token && m_record->onToken(attempt, token->index, token->text))
                notifyAll();
        }
    } catch (const std::runtime_error&) {
        // The home has disconnected, or this process has cancelled the attempt.
        if (!m_attempts[attempt].cancelled)
            m_services.unresponsiveHomes.recordTimeout(home, RuntimeClock::now());
    }
    co_return StageOutcome { .attempt = attempt, .end = StageEndReason::Failed, .sent = true };
}

}
