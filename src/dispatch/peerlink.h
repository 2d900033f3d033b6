#pragma once

#include "libnet/peerstream.h"

namespace Apricot {

// Connection to other members for the services of the dispatch daemon. The daemon uses
// ClientPeerLink; tests substitute their own implementation.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    // Opens a stream and sends its first message. Throws PeerError.
    virtual boost::asio::awaitable<std::shared_ptr<PeerStream>> open(
        PeerEndpoint endpoint, Message first, Milliseconds timeout)
        = 0;
    // Sends one request and returns its response. Throws std::runtime_error.
    virtual boost::asio::awaitable<Message> call(
        PeerEndpoint endpoint, Message request, Milliseconds timeout)
        = 0;
};

// Connects to other members through a PeerClient.
class ClientPeerLink : public PeerLink {
public:
    explicit ClientPeerLink(PeerClient& client)
        : m_client(client)
    {
    }

    boost::asio::awaitable<std::shared_ptr<PeerStream>> open(
        PeerEndpoint endpoint, Message first, Milliseconds timeout) override
    {
        return m_client.open(std::move(endpoint), std::move(first), timeout);
    }
    boost::asio::awaitable<Message> call(
        PeerEndpoint endpoint, Message request, Milliseconds timeout) override
    {
        return m_client.call(std::move(endpoint), std::move(request), timeout);
    }

private:
    PeerClient& m_client;
};

}
