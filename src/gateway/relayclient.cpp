#include "gateway/relayclient.h"

#include "gateway/relayedstream.h"
#include "libnet/log.h"
#include "libnet/messagehead.h"
#include "libnet/watchdog.h"

#include <boost/beast/core/error.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds connectTimeout { 250 };
    // Time beyond the timeout of a call that the peer has to report its end.
    constexpr Milliseconds reportMargin { 100 };
    // Number of peers that are tried for one call, and of those that may have no link to its server.
    constexpr int maxPeersPerCall = 8;
    constexpr int maxPeersWithoutLink = 3;
    // Part of a message that is left for the header of a call.
    constexpr std::size_t maxHeaderBytes = 131'072;

    RelayCallMessage makeMessage(const HostId& self, const CallTarget& target, const HttpCall& call)
    {
        return { .from = self,
            .server = target.server.id,
            .endpoint = target.server.endpoint,
            .startedAt = target.server.startedAt,
            .softwareVersion = target.server.softwareVersion,
            .check = target.check,
            .requestId = target.requestId,
            .method = call.method,
            .target = call.target,
            .fields = call.fields,
            .body = call.body,
            .headTimeout = call.timeout,
            .bodyTimeout = target.timeLeft };
    }

}

RelayClient::RelayClient(Asio::io_context& context, const ServingView& view, PeerClient& peers, HostId self,
    MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_metrics(metrics)
{
}

void RelayClient::onHostsChanged()
{
    m_relayPeers->setHosts(m_self, m_view.hostIds());
}

Asio::awaitable<std::unique_ptr<HttpStream>> RelayClient::open(
    CallTarget target, std::shared_ptr<HttpCall> call, HttpSendGate gate)
{
    if (call->body.size() + maxHeaderBytes > messageLimitBytes)
        throw CallNotSentError(Asio::error::message_size);
    int peersWithoutLink = 0;
    for (int attempt = 0; attempt < maxPeersPerCall && peersWithoutLink < maxPeersWithoutLink; ++attempt) {
        const TimePoint startedAt = RuntimeClock::now();
        const std::optional<HostId> peer = m_relayPeers->choose(startedAt);
        if (!peer)
            break;
        if (call->cancel && call->cancel->isCancelled())
            throw CallNotSentError(Asio::error::operation_aborted);
        if (gate && !gate())
            co_return nullptr;
        std::unique_ptr<HttpStream> stream;
        const RelayEnd end = co_await openThrough(*peer, target, call, stream);
        count(relayEndName(end));
        writeLog(LogLevel::Info, "call_relayed",
            { { "request", target.requestId }, { "server", target.server.id.value() },
                { "address", toText(target.server.endpoint) }, { "peer", peer->value() }, { "end", relayEndName(end) },
                { "ms", millisecondsBetween(startedAt, RuntimeClock::now()) } });
        if (stream)
            co_return stream;
        if (end == RelayEnd::NotPermitted)
            break;
        peersWithoutLink += end == RelayEnd::NoLink ? 1 : 0;
    }
    throw CallNotSentError(Asio::error::host_unreachable);
}

Asio::awaitable<std::shared_ptr<PeerStream>> RelayClient::sendTo(HostId peer, Message message)
{
    const auto host = m_view.hosts().find(peer);
    if (host != m_view.hosts().end()) {
        try {
            Endpoint endpoint = host->second.endpoint;
            co_return co_await m_peers.open(std::move(endpoint), std::move(message), connectTimeout);
        } catch (const std::exception&) {
            // Nothing was sent: the connection failed, or its stream was closed before.
        }
    }
    m_relayPeers->recordSilence(peer, RuntimeClock::now());
    co_return nullptr;
}

Asio::awaitable<RelayEnd> RelayClient::openThrough(HostId peer, const CallTarget& target,
    std::shared_ptr<HttpCall> call, std::unique_ptr<HttpStream>& stream)
{
    m_relayPeers->onCallStarted(peer);
    const std::shared_ptr<void> inFlight(
        nullptr, [peers = m_relayPeers, peer](void* /*unused*/) { peers->onCallEnded(peer); });
    Message message = makeMessage(m_self, target, *call);
    const std::shared_ptr<PeerStream> peerStream = co_await sendTo(peer, std::move(message));
    if (!peerStream)
        co_return RelayEnd::Unreachable;
    const auto isCancelled = [&call] { return call->cancel && call->cancel->isCancelled(); };
    if (isCancelled()) {
        peerStream->cancel();
        throw boost::system::system_error(Asio::error::operation_aborted);
    }
    if (call->cancel)
        call->cancel->setAction([peerStream] { peerStream->cancel(); });
    std::optional<Message> response;
    const Watchdog watchdog(m_context, call->timeout + reportMargin, [peerStream] { peerStream->cancel(); });
    try {
        response = co_await peerStream->read();
    } catch (const PeerError&) {
        response.reset();
    }
    auto* head = response ? std::get_if<RelayHeadMessage>(&*response) : nullptr;
    if (head && isFinalStatus(head->status)) {
        stream = std::make_unique<RelayedStream>(
            m_context, peerStream, std::move(*head), call->cancel, target.timeLeft, inFlight);
        co_return RelayEnd::Complete;
    }
    if (call->cancel)
        call->cancel->setAction(nullptr);
    peerStream->cancel();
    // Peers of earlier versions relay any status of a server.
    if (head) {
        count(relayEndName(RelayEnd::Broken));
        throwRelayError(RelayEnd::Broken);
    }
    const auto* end = response ? std::get_if<RelayEndMessage>(&*response) : nullptr;
    if (!end) {
        if (!isCancelled())
            m_relayPeers->recordSilence(peer, RuntimeClock::now());
        count(relayEndName(watchdog.hasExpired() ? RelayEnd::TimedOut : RelayEnd::Broken));
        if (watchdog.hasExpired())
            throwRelayError(RelayEnd::TimedOut);
        // The peer's end shows nothing about the server.
        throw boost::system::system_error(Asio::error::operation_aborted);
    }
    if (end->end == RelayEnd::CutOff || end->end == RelayEnd::Busy)
        m_relayPeers->recordRefusal(peer, RuntimeClock::now());
    if (end->end == RelayEnd::Broken || end->end == RelayEnd::TimedOut) {
        count(relayEndName(end->end));
        throwRelayError(end->end);
    }
    co_return end->end;
}

void RelayClient::count(const char* outcome)
{
    m_metrics
        .counter("apricot_relayed_calls_total",
            "Calls that this host sent through a peer, by how it began.", { { "outcome", outcome } })
        .add();
}

}
