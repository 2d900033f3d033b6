#include "gateway/relayserver.h"

#include "gateway/relayedstream.h"
#include "libapricot/bytebudget.h"
#include "libapricot/scopedcount.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Bounds the memory and the processor time that a host spends for its peers.
    constexpr std::size_t maxRelayedCalls = 512;
    // Bodies of these calls together. A host of the smallest size has 120 MB.
    constexpr std::size_t maxRelayedBytes = 8 << 20;

}

RelayServer::RelayServer(Asio::io_context& context, BackendCaller& backendCaller, MetricRegistry& metrics)
    : m_context(context)
    , m_backendCaller(backendCaller)
    , m_metrics(metrics)
{
}

Asio::awaitable<void> RelayServer::serve(std::shared_ptr<PeerStream> stream, RelayCallMessage message)
{
    const TimePoint startedAt = RuntimeClock::now();
    const auto receiver = std::make_shared<Receiver>(m_context);
    Asio::co_spawn(m_context, watchReceiver(stream, receiver), Asio::detached);
    RelayEnd end = RelayEnd::Busy;
    // Bounds the memory of the process, like the budget of responses.
    static ByteBudget budget(maxRelayedBytes);
    ByteLease lease(budget);
    if (m_inFlight < maxRelayedCalls && !m_isStopping && lease.tryAcquire(message.body.size())) {
        const ScopedCount inFlight(m_inFlight);
        end = co_await relay(*stream, message, *receiver);
    }
    m_metrics
        .counter("apricot_calls_for_peers_total", "Calls that this host sent for its peers, or refused to send.",
            { { "sent", end == RelayEnd::Complete || end == RelayEnd::Broken || end == RelayEnd::TimedOut ? "yes" : "no" } })
        .add();
    writeLog(LogLevel::Info, "peer_call_ended",
        { { "request", message.requestId }, { "peer", message.from.value() },
            { "server", message.server.value() }, { "address", toText(message.endpoint) },
            { "end", relayEndName(end) }, { "calls_for_peers", m_inFlight },
            { "ms", millisecondsBetween(startedAt, RuntimeClock::now()) } });
    if (receiver->cancel->isCancelled())
        co_return;
    Message last = RelayEndMessage { end };
    co_await stream->write(std::move(last));
}

Asio::awaitable<void> RelayServer::watchReceiver(
    std::shared_ptr<PeerStream> stream, std::shared_ptr<Receiver> receiver)
{
    try {
        while (std::optional<Message> message = co_await stream->read()) {
            if (const auto* consumed = std::get_if<RelayConsumedMessage>(&*message))
                receiver->consumedBytes += consumed->bytes;
            receiver->consumed.notifyAll();
        }
    } catch (const std::exception&) {
        // The receiver has given the call up, or its process has ended.
        receiver->cancel->cancel();
    }
    receiver->consumed.notifyAll();
}

Asio::awaitable<RelayEnd> RelayServer::relay(
    PeerStream& stream, const RelayCallMessage& message, Receiver& receiver)
{
    if (m_backendCaller.links().isCutOff())
        co_return RelayEnd::CutOff;
    if (m_backendCaller.links().isLost(message.endpoint))
        co_return RelayEnd::NoLink;
    try {
        const std::unique_ptr<HttpStream> response
            = co_await m_backendCaller.openForPeer(message, receiver.cancel);
        if (!response)
            co_return RelayEnd::NotPermitted;
        Message head = RelayHeadMessage { response->status(), response->head().fields, response->framing() };
        co_await stream.write(std::move(head));
        // The host may be gone without having closed its connection.
        response->setTotalTimeout(std::max(message.bodyTimeout, Milliseconds(1)));
        co_await relayBody(stream, *response, receiver);
        co_return RelayEnd::Complete;
    } catch (const CallNotSentError&) {
        co_return m_backendCaller.links().isCutOff() ? RelayEnd::CutOff : RelayEnd::NoLink;
    } catch (const boost::system::system_error& error) {
        co_return error.code() == boost::beast::error::timeout ? RelayEnd::TimedOut : RelayEnd::Broken;
    } catch (const PeerError&) {
        co_return RelayEnd::Broken;
    }
}

Asio::awaitable<void> RelayServer::relayBody(PeerStream& stream, HttpStream& response, Receiver& receiver)
{
    std::uint64_t sentBytes = 0;
    while (std::optional<std::string> data = co_await response.read()) {
        sentBytes += data->size();
        Message part = RelayDataMessage { std::move(*data) };
        co_await stream.write(std::move(part));
        while (sentBytes - receiver.consumedBytes > relayWindowBytes && !receiver.cancel->isCancelled())
            co_await receiver.consumed.wait();
    }
}

}
