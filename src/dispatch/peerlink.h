#pragma once

#include "libnet/peerstream.h"

namespace Apricot {

// The way to other members, as the services of the dispatch daemon use it. PeerClient does the work
// in the daemon; tests put their own in its place.
class PeerLink {
public:
    virtual ~PeerLink() = default;

    // Opens a stream and sends its first message. Throws PeerError.
    virtual boost::asio::awaitable<std::shared_ptr<PeerStream>> open(
        PeerEndpoint endpoint, Message first, Milliseconds timeout)
        = 0;
    // Sends one message and gives its one answer. Throws std::runtime_error.
    virtual boost::asio::awaitable<Message> call(
        PeerEndpoint endpoint, Message request, Milliseconds timeout)
        = 0;
};

// Reaches other members by a PeerClient.
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
