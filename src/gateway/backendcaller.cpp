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

    // Longest time to make a connection; hosts are a few milliseconds apart.
    constexpr Milliseconds connectTimeout { 350 };
    constexpr int statusMisdirected = 421;
    constexpr int statusClass = 100;
    constexpr int successClass = 2;

    std::string_view sendEndName(SendEnd end)
    {
        switch (end) {
        case SendEnd::Answered:
            return "answered";
        case SendEnd::NotSent:
            return "not_sent";
        case SendEnd::NotRun:
            return "not_run";
        case SendEnd::Broken:
            return "broken";
        case SendEnd::Silent:
            return "silent";
        case SendEnd::Cancelled:
            return "cancelled";
        }
        return "unknown";
    }

    // Tells of a send without an answer of the server.
    void logSend(const ServedRequest& request, const BackendServerId& server,
        const SendResult& result, Duration took)
    {
        if (result.end == SendEnd::Answered)
            return;
        writeLog(LogLevel::Info, "backend_send_failed",
            { { "request", request.caller.id }, { "server", server.value() },
                { "end", sendEndName(result.end) }, { "status", result.status },
                { "ms", std::chrono::duration_cast<Milliseconds>(took).count() },
                { "left_ms", request.timeLeft(RuntimeClock::now()).count() } });
    }

    CallOutcome callEndOf(SendEnd end)
    {
        switch (end) {
        case SendEnd::Answered:
            return CallOutcome::Answered;
        case SendEnd::NotSent:
        case SendEnd::Silent:
            return CallOutcome::Unresponsive;
        case SendEnd::NotRun:
            return CallOutcome::Refused;
        case SendEnd::Broken:
            return CallOutcome::Broken;
        case SendEnd::Cancelled:
            return CallOutcome::Abandoned;
        }
        return CallOutcome::Abandoned;
    }

}

BackendCaller::BackendCaller(
    Asio::io_context& context, ServingView& view, ServerTracker& tracker)
    : m_context(context)
    , m_view(view)
    , m_tracker(tracker)
{
}

Asio::awaitable<SendResult> BackendCaller::send(const ServedRequest& request,
    ServerEntry server, std::vector<std::string> inputs, std::string lastEvent,
    Milliseconds timeout)
{
    const TimePoint startedAt = RuntimeClock::now();
    const HttpRequest& original = request.exchange.request();
    Platform::BackendCallHeader header { .timeLeft = request.timeLeft(startedAt),
        .server = server.id,
        .owner = request.owner,
        .inputs = std::move(inputs),
        .lastEventId = std::move(lastEvent) };
    HttpCall call { .method = original.method,
        .target = original.target,
        .fields = Platform::backendFields(original, header),
        .body = original.body,
        .timeout = timeout,
        .cancel = request.scope->addCall() };
    call.isOwnResponse = [id = request.caller.id](const HttpResponseHead& head) {
        return Platform::isResponseTo(head, id);
    };
    auto sent = std::make_shared<bool>(false);
    HttpSendGate gate = [this, sent, server, scope = request.scope] {
        *sent = mayGetWork(server);
        if (*sent)
            scope->noteSent();
        return *sent;
    };
    const std::shared_ptr<HttpClient> client = clientOf(server.endpoint);
    m_tracker.onCallStarted(server.id);
    SendResult result;
    try {
        auto stream = co_await client->open(std::move(call), std::move(gate));
        result = classify(std::move(stream));
    } catch (const boost::system::system_error& error) {
        if (*sent)
            result.end = error.code() == boost::beast::error::timeout ? SendEnd::Silent
                                                                      : SendEnd::Broken;
        if (request.scope->isOver())
            result.end = *sent ? SendEnd::Cancelled : SendEnd::NotSent;
    }
    const TimePoint now = RuntimeClock::now();
    logSend(request, server.id, result, now - startedAt);
    const bool saysNothing = request.scope->isOver() || (!*sent && !mayGetWork(server));
    m_tracker.onCallEnded(server.id,
        saysNothing ? CallOutcome::Abandoned : callEndOf(result.end), now - startedAt, now);
    co_return result;
}

SendResult BackendCaller::classify(std::unique_ptr<HttpStream> stream) const
{
    if (!stream)
        return { .end = SendEnd::NotSent };
    const Platform::ResponseMarkers marks = Platform::readResponseMarkers(stream->head());
    const int status = stream->status();
    if (marks.isNotRun || status == statusMisdirected)
        return { .end = SendEnd::NotRun, .stream = nullptr, .status = status };
    const bool isSuccess = status / statusClass == successClass;
    if (isSuccess && (!marks.isSigned || marks.isEncoded))
        return { .end = SendEnd::Broken };
    return { .end = SendEnd::Answered, .stream = std::move(stream), .status = status };
}

Asio::awaitable<HttpResponse> BackendCaller::call(ServerEntry server, HttpCall call)
{
    const std::shared_ptr<HttpClient> client = clientOf(server.endpoint);
    HttpSendGate gate = [this, server] { return mayGetWork(server); };
    const std::unique_ptr<HttpStream> stream
        = co_await client->open(std::move(call), std::move(gate));
    if (!stream)
        throw boost::system::system_error(Asio::error::operation_aborted);
    HttpResponse response;
    static_cast<HttpResponseHead&>(response) = stream->head();
    response.body = co_await readBody(*stream);
    co_return response;
}

Asio::awaitable<HttpResponse> BackendCaller::callAnyway(Endpoint endpoint, HttpCall call)
{
    const std::shared_ptr<HttpClient> client = clientOf(endpoint);
    co_return co_await client->send(std::move(call));
}

bool BackendCaller::mayGetWork(const ServerEntry& server)
{
    const KnownServer* known = m_view.servers().findUsable(server.id, RuntimeClock::now());
    return known && known->server.endpoint == server.endpoint;
}

std::shared_ptr<HttpClient> BackendCaller::clientOf(const Endpoint& endpoint)
{
    std::shared_ptr<HttpClient>& client = m_clients[endpoint];
    if (!client) {
        HttpClientOptions options { .address = endpoint.address,
            .port = endpoint.port,
            .connectTimeout = connectTimeout };
        client = std::make_shared<HttpClient>(m_context, std::move(options));
    }
    return client;
}

void BackendCaller::forgetGone()
{
    std::set<Endpoint> endpoints;
    std::set<BackendServerId> ids;
    for (const auto& [id, known] : m_view.servers().all()) {
        ids.insert(id);
        endpoints.insert(known.server.endpoint);
    }
    m_tracker.retain(ids);
    std::erase_if(m_clients,
        [&endpoints](const auto& entry) { return !endpoints.contains(entry.first); });
}

}
