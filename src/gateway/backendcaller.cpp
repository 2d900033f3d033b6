#include "gateway/backendcaller.h"

#include "libnet/log.h"
#include "platform/requesttranslation.h"

#include <boost/beast/core/error.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <set>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    constexpr int statusMisdirected = 421;
    constexpr int statusesPerClass = 100;
    constexpr int successClass = 2;

    std::string_view sendOutcomeName(SendOutcome outcome)
    {
        switch (outcome) {
        case SendOutcome::Responded:
            return "answered";
        case SendOutcome::NotSent:
            return "not_sent";
        case SendOutcome::NotRun:
            return "not_run";
        case SendOutcome::UnprovenRefusal:
            return "unproven_refusal";
        case SendOutcome::Broken:
            return "broken";
        case SendOutcome::TimedOut:
            return "silent";
        case SendOutcome::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

    // Logs a send that got no response that may be forwarded.
    void logFailedSend(const ServedRequest& request, const ServerEntry& server,
        const SendResult& result, const std::string& reason, Duration duration)
    {
        if (result.outcome == SendOutcome::Responded)
            return;
        writeLog(LogLevel::Info, "backend_send_failed",
            { { "request", request.caller.id }, { "identity", toText(request.fingerprint) },
                { "parts", partNames(request.subjects) },
                { "server", server.id.value() }, { "started_at", server.startedAt },
                { "server_version", server.softwareVersion.value() }, { "reason", reason }, { "end", sendOutcomeName(result.outcome) }, { "status", result.status },
                { "ms", std::chrono::duration_cast<Milliseconds>(duration).count() },
                { "left_ms", request.timeLeft(RuntimeClock::now()).count() } });
    }

    CallOutcome callOutcomeOf(SendOutcome outcome)
    {
        switch (outcome) {
        case SendOutcome::Responded:
            return CallOutcome::Responded;
        case SendOutcome::NotSent:
        case SendOutcome::TimedOut:
            return CallOutcome::Unresponsive;
        case SendOutcome::NotRun:
        // Counted as a response, it would draw requests to a server that refuses them fast.
        case SendOutcome::UnprovenRefusal:
            return CallOutcome::Refused;
        case SendOutcome::Broken:
            return CallOutcome::Broken;
        case SendOutcome::Cancelled:
            return CallOutcome::Abandoned;
        }
        return CallOutcome::Abandoned;
    }

}

bool isServerFailure(SendOutcome outcome)
{
    return outcome == SendOutcome::UnprovenRefusal || outcome == SendOutcome::Broken
        || outcome == SendOutcome::TimedOut;
}

RunEnd runEndOf(const boost::system::error_code& error)
{
    const bool isSilent = error == boost::beast::error::timeout || error == Asio::error::timed_out
        || error == Asio::error::operation_aborted;
    return isSilent ? RunEnd::Silent : RunEnd::Broken;
}

BackendCaller::BackendCaller(
    ServingView& view, ServerTracker& tracker, LimitPermits& limits,
    ServerStatements& statements, ColdLimiter& coldLimiter, ServerCalls& calls, ServerEndProbe& serverEnds,
    RolloutObserver& rollouts, MemoryAccount& memory)
    : m_view(view)
    , m_tracker(tracker)
    , m_limits(limits)
    , m_statements(statements)
    , m_coldLimiter(coldLimiter)
    , m_calls(calls)
    , m_serverEnds(serverEnds)
    , m_rollouts(rollouts)
    , m_memory(memory)
{
}

double BackendCaller::coldRateOf(const PoolId& id) const
{
    const auto config = m_view.config();
    const Pool* pool = config ? config->findPool(id) : nullptr;
    return pool ? pool->coldRate : 0;
}

bool BackendCaller::mayReceiveWhileCold(const KnownServer& server, TimePoint now)
{
    return !server.isCold(now)
        || m_coldLimiter.mayAcquire(server.server.id, coldRateOf(server.server.pool), now);
}

bool BackendCaller::acquireColdPermit(const ServerEntry& server, TimePoint now)
{
    const KnownServer* known = m_view.servers().findUsable(server.id, now);
    return !known || !known->isCold(now)
        || m_coldLimiter.tryAcquire(server.id, coldRateOf(server.pool), now);
}

Asio::awaitable<SendResult> BackendCaller::send(const ServedRequest& request,
    ServerEntry server, std::vector<std::string> inputs, std::string lastEventId,
    Milliseconds timeout)
{
    const TimePoint startedAt = RuntimeClock::now();
    const HttpRequest& original = request.exchange.request();
    Platform::BackendCallHeader header { .timeLeft = request.timeLeft(startedAt),
        .server = server.id,
        .owner = request.owner,
        .inputs = std::move(inputs),
        .lastEventId = std::move(lastEventId) };
    HttpCall call { .method = original.method,
        .target = original.target,
        .fields = Platform::backendFields(original, header),
        .body = original.body,
        .timeout = timeout,
        .cancel = request.scope->addCall() };
    call.ownerOf = [id = request.caller.id](const HttpResponseHead& head) {
        return Platform::ownerOfResponse(head, id);
    };
    auto sent = std::make_shared<bool>(false);
    HttpSendGate gate = [this, sent, server, scope = request.scope] {
        *sent = mayReceive(server, CallCheck::Request) && m_statements.mayUsePlace(server)
            && acquireColdPermit(server, RuntimeClock::now());
        if (*sent)
            scope->markSent();
        return *sent;
    };
    CallTarget target { .server = server,
        .check = CallCheck::Request,
        .requestId = request.caller.id,
        .timeLeft = std::max(request.timeLeft(startedAt), Milliseconds(1)) };
    m_tracker.onCallStarted(server.id);
    const std::shared_ptr<void> place = m_statements.takePlace(server.id);
    const std::shared_ptr<void> run = m_rollouts.trackRun(server);
    SendResult result;
    std::string reason;
    bool isWithheld = false;
    try {
        auto stream = co_await m_calls.open(std::move(target), std::move(call), std::move(gate));
        isWithheld = !stream;
        if (stream)
            m_statements.record(server, startedAt, stream->head());
        result = classify(std::move(stream));
        if (result.outcome == SendOutcome::UnprovenRefusal)
            reportRun(request, server, RunEnd::Complete, startedAt);
    } catch (const CallNotSentError& error) {
        reason = error.code().message();
        *sent = false;
    } catch (const boost::system::system_error& error) {
        reason = error.code().message();
        const RunEnd end = request.scope->isOver() ? RunEnd::Silent : runEndOf(error.code());
        if (*sent)
            reportRun(request, server, end, startedAt);
        if (*sent)
            result.outcome = error.code() == boost::beast::error::timeout ? SendOutcome::TimedOut
                                                                          : SendOutcome::Broken;
        if (request.scope->isOver())
            result.outcome = *sent ? SendOutcome::Cancelled : SendOutcome::NotSent;
    }
    result.place = place;
    result.run = run;
    const TimePoint now = RuntimeClock::now();
    logFailedSend(request, server, result, reason, now - startedAt);
    const bool isInconclusive = request.scope->isOver() || isWithheld
        || (!*sent && !mayReceive(server, CallCheck::Request));
    m_tracker.onCallEnded(server.id,
        isInconclusive ? CallOutcome::Abandoned : callOutcomeOf(result.outcome), now - startedAt, now);
    co_return result;
}

void BackendCaller::reportRun(const EndedRun& run)
{
    if (m_runObserver)
        m_runObserver->onRunEnded(run);
}

void BackendCaller::reportFinished(const std::vector<PoisonSubject>& subjects, int stage)
{
    if (m_runObserver)
        m_runObserver->onFinished(subjects, stage);
}

void BackendCaller::reportRun(const ServedRequest& request, const ServerEntry& server, RunEnd end,
    TimePoint sentAt, Duration respondedFor)
{
    EndedRun run { .fingerprint = request.fingerprint,
        .server = startOf(server),
        .endpoint = server.endpoint,
        .end = end,
        .sentAt = sentAt,
        .respondedFor = respondedFor };
    // A call that was given up may have ended long before its server did.
    if (end == RunEnd::Broken || end == RunEnd::Unproven)
        run.parts.assign(request.subjects.begin() + 1, request.subjects.end());
    reportRun(run);
}

void BackendCaller::reportResponse(const ServedRequest& request, const ServerEntry& server,
    TimePoint sentAt, const CompleteResponse& response)
{
    const bool isFinish = response.hasRun && response.status / statusesPerClass == successClass;
    const bool isProven = response.framing != BodyFraming::ConnectionEnd;
    reportRun(request, server, isFinish && !isProven ? RunEnd::Unproven : RunEnd::Complete, sentAt);
    if (isFinish && isProven)
        reportFinished(request.subjects, ServerCrash::requestStage);
}

void BackendCaller::reportIncompleteResponse(const ServedRequest& request, const ServerEntry& server,
    TimePoint sentAt, const IncompleteResponse& response)
{
    const bool isOver = request.scope->isOver();
    if (!isOver)
        m_tracker.onResponseBroken(server.id, RuntimeClock::now());
    reportRun(request, server, isOver ? RunEnd::Silent : response.end, sentAt, response.respondedFor);
    writeLog(LogLevel::Info, "backend_response_incomplete",
        { { "request", request.caller.id }, { "identity", toText(request.fingerprint) },
            { "parts", partNames(request.subjects) }, { "server", server.id.value() }, { "server_version", server.softwareVersion.value() },
            { "reason", response.reason },
            { "framing", bodyFramingName(response.framing) },
            { "unfinished_bytes", response.unfinishedBytes } });
}

Asio::awaitable<std::optional<ResponseBody>> BackendCaller::readResponse(
    const ServedRequest& request, ServerEntry server, HttpStream& stream, TimePoint sentAt)
{
    std::optional<ResponseBody> body;
    IncompleteResponse incomplete { .framing = stream.framing() };
    try {
        auto holder = m_memory.open(MemoryCause::Response, RuntimeClock::now());
        body.emplace(co_await readBody(stream, std::move(holder)));
    } catch (const boost::system::system_error& error) {
        incomplete.end = runEndOf(error.code());
        incomplete.reason = error.code().message();
    }
    if (body && stream.framing() == BodyFraming::ConnectionEnd && co_await hasEnded(server)) {
        incomplete.reason = serverEndedReason;
        body.reset();
    }
    if (body)
        reportResponse(request, server, sentAt, { stream.status(), stream.framing() });
    else
        reportIncompleteResponse(request, server, sentAt, incomplete);
    co_return body;
}

Asio::awaitable<bool> BackendCaller::hasEnded(const ServerEntry& server)
{
    Endpoint endpoint = server.endpoint;
    return m_serverEnds.hasEnded(std::move(endpoint));
}

SendResult BackendCaller::classify(std::unique_ptr<HttpStream> stream) const
{
    if (!stream)
        return { .outcome = SendOutcome::NotSent };
    const Platform::ResponseMarkers markers = Platform::readResponseMarkers(stream->head());
    const int status = stream->status();
    // Destroying the stream closes its connection: a refusal that comes again would look like that of the next attempt.
    if (markers.isNotRun || status == statusMisdirected)
        return { .outcome = SendOutcome::NotRun, .status = status };
    // Its body is not waited for: the caller gets another response.
    if (markers.promisesNotRun)
        return { .outcome = SendOutcome::UnprovenRefusal, .status = status };
    const bool isSuccess = status / statusesPerClass == successClass;
    if (isSuccess && (!markers.isSigned || markers.isEncoded))
        return { .outcome = SendOutcome::Broken };
    return { .outcome = SendOutcome::Responded, .stream = std::move(stream), .status = status };
}

Asio::awaitable<HttpResponse> BackendCaller::readOwnResponse(
    HttpStream& stream, Milliseconds timeout, const ResponseCheck& isOwn)
{
    stream.holdConnection();
    HttpResponse response = co_await Apricot::readResponse(stream, timeout);
    if (isOwn(response))
        stream.releaseConnection();
    co_return response;
}

Asio::awaitable<HttpResponse> BackendCaller::call(
    ServerEntry server, HttpCall call, bool& isSent, const ResponseCheck& isOwn)
{
    const Milliseconds timeout = call.timeout;
    const TimePoint startedAt = RuntimeClock::now();
    HttpSendGate gate = [this, &isSent, server] { return isSent = mayReceive(server, CallCheck::Work); };
    CallTarget target { .server = server, .check = CallCheck::Work, .timeLeft = timeout };
    std::unique_ptr<HttpStream> stream;
    try {
        stream = co_await m_calls.open(std::move(target), std::move(call), std::move(gate));
    } catch (const CallNotSentError&) {
        isSent = false;
        throw;
    }
    if (!stream)
        throw boost::system::system_error(Asio::error::operation_aborted);
    m_statements.record(server, startedAt, stream->head());
    co_return co_await readOwnResponse(*stream, timeout, isOwn);
}

Asio::awaitable<std::unique_ptr<HttpStream>> BackendCaller::openForPeer(
    const RelayCallMessage& message, std::shared_ptr<HttpCancel> cancel)
{
    const TimePoint startedAt = RuntimeClock::now();
    ServerEntry server { .id = message.server,
        .endpoint = message.endpoint,
        .softwareVersion = message.softwareVersion,
        .startedAt = message.startedAt };
    auto call = std::make_shared<HttpCall>(HttpCall { .method = message.method,
        .target = message.target,
        .fields = message.fields,
        .body = message.body,
        .timeout = message.headTimeout,
        .cancel = std::move(cancel) });
    call->ownerOf = [id = message.requestId](const HttpResponseHead& head) {
        return Platform::ownerOfResponse(head, id);
    };
    HttpSendGate gate = [this, server, check = message.check] { return mayReceive(server, check); };
    Endpoint endpoint = server.endpoint;
    std::unique_ptr<HttpStream> stream
        = co_await m_calls.openDirect(std::move(endpoint), std::move(call), std::move(gate));
    if (stream && message.check == CallCheck::None)
        recordStatement(server.endpoint, startedAt, *stream);
    else if (stream)
        m_statements.record(server, startedAt, stream->head());
    // Only the peer can tell whether a response without an ID is the call's own, and a refusal that comes again would be
    // taken for that of the request's next attempt.
    if (stream && (message.requestId.empty() || Platform::readResponseMarkers(stream->head()).isNotRun))
        stream->holdConnection();
    co_return stream;
}

Asio::awaitable<HttpResponse> BackendCaller::callWithoutCheck(
    Endpoint endpoint, HttpCall call, const ResponseCheck& isOwn)
{
    const Milliseconds timeout = call.timeout;
    const TimePoint startedAt = RuntimeClock::now();
    CallTarget target { .server = { .endpoint = endpoint }, .timeLeft = timeout };
    HttpSendGate gate = [this, server = target.server] { return mayReceive(server, CallCheck::None); };
    const std::unique_ptr<HttpStream> stream
        = co_await m_calls.open(std::move(target), std::move(call), std::move(gate));
    if (!stream)
        throw boost::system::system_error(Asio::error::operation_aborted);
    recordStatement(endpoint, startedAt, *stream);
    co_return co_await readOwnResponse(*stream, timeout, isOwn);
}

void BackendCaller::recordStatement(const Endpoint& endpoint, TimePoint sentAt, const HttpStream& stream)
{
    if (const KnownServer* known = m_view.servers().findByAddress(endpoint))
        m_statements.record(known->server, sentAt, stream.head());
}

bool BackendCaller::mayReceive(const ServerEntry& server, CallCheck check)
{
    const bool isNewWork = check != CallCheck::None;
    const KnownServer* known = isNewWork ? m_view.servers().findUsable(server.id, RuntimeClock::now())
                                         : m_view.servers().findByAddress(server.endpoint);
    if (!known || known->server.endpoint != server.endpoint
        || m_statements.isResting(startOf(known->server)))
        return false;
    return check != CallCheck::Request
        || (known->server.startedAt == server.startedAt
            && known->server.softwareVersion == server.softwareVersion);
}

void BackendCaller::removeUnknownServers()
{
    std::set<Endpoint> endpoints;
    std::set<BackendServerId> ids;
    for (const auto& [id, known] : m_view.servers().all()) {
        ids.insert(id);
        endpoints.insert(known.server.endpoint);
    }
    m_tracker.retain(ids);
    m_coldLimiter.retain(ids, RuntimeClock::now());
    m_statements.onViewChanged();
    m_calls.retain(endpoints);
    m_calls.links().removeUnknownServers();
}

}
