#pragma once

#include "libapricot/metrics.h"
#include "libnet/httpclient.h"
#include "libnet/peerstream.h"
#include "libserving/relaypeers.h"
#include "libserving/servingview.h"

namespace Apricot {

// Thrown by a call of which nothing was sent, although it had passed its last check.
class CallNotSentError : public boost::system::system_error {
public:
    using boost::system::system_error::system_error;
};

// What a call requires, and the server that it is for.
struct CallTarget {
    ServerEntry server;
    CallCheck check = CallCheck::None;
    // ID that the server echoes in its response, or empty.
    std::string requestId;
    // Time left for the whole response.
    Milliseconds timeLeft { 0 };
};

// Sends calls to backend servers through peers that have links to them. The peer only forwards: retries, limits and
// what the response shows remain with this host.
class RelayClient {
public:
    RelayClient(boost::asio::io_context& context, const ServingView& view, PeerClient& peers, HostId self,
        MetricRegistry& metrics);

    // Like HttpClient::open(), but throws CallNotSentError if no peer sent the call. The call is unchanged then.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> open(
        CallTarget target, std::shared_ptr<HttpCall> call, HttpSendGate gate);
    void onHostsChanged();

private:
    // Sends the first message of a stream to a peer. Returns nothing if it was not sent.
    boost::asio::awaitable<std::shared_ptr<PeerStream>> sendTo(HostId peer, Message message);
    // Returns how a peer ended the call if it sent nothing; otherwise the stream is set.
    boost::asio::awaitable<RelayEnd> openThrough(HostId peer, const CallTarget& target,
        std::shared_ptr<HttpCall> call, std::unique_ptr<HttpStream>& stream);
    void count(const char* outcome);

    boost::asio::io_context& m_context;
    const ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    MetricRegistry& m_metrics;
    // Shared with the streams, which may outlive this object.
    std::shared_ptr<RelayPeers> m_relayPeers = std::make_shared<RelayPeers>();
};

}
