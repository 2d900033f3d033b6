#pragma once

#include "gateway/backendcaller.h"
#include "libnet/asyncevent.h"
#include "libnet/peerstream.h"

namespace Apricot {

// Sends calls to backend servers for peers that have lost their own links.
class RelayServer {
public:
    RelayServer(boost::asio::io_context& context, BackendCaller& backendCaller, MetricRegistry& metrics);

    // Refuses further calls.
    void stop() { m_isStopping = true; }
    // Sends the call that a peer's stream began with, and passes the response on to it.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, RelayCallMessage message);

private:
    // The receiver's part of a relayed response.
    struct Receiver {
        explicit Receiver(boost::asio::io_context& context)
            : consumed(context.get_executor())
        {
        }

        AsyncEvent consumed;
        std::uint64_t consumedBytes = 0;
        std::shared_ptr<HttpCancel> cancel = std::make_shared<HttpCancel>();
    };

    static boost::asio::awaitable<void> watchReceiver(
        std::shared_ptr<PeerStream> stream, std::shared_ptr<Receiver> receiver);
    boost::asio::awaitable<RelayEnd> relay(
        PeerStream& stream, const RelayCallMessage& message, Receiver& receiver);
    static boost::asio::awaitable<void> relayBody(PeerStream& stream, HttpStream& response, Receiver& receiver);

    boost::asio::io_context& m_context;
    BackendCaller& m_backendCaller;
    MetricRegistry& m_metrics;
    std::size_t m_inFlight = 0;
    bool m_isStopping = false;
};

}
