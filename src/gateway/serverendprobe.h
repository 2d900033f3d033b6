#pragma once

#include "gateway/backendlinks.h"
#include "libnet/peerstream.h"

namespace Apricot {

// Finds out whether the process of a backend server has ended. A refused connection alone does not show it, because the
// link of this host may be lost: a peer that reaches other servers has to confirm it, or a sound link to another server.
class ServerEndProbe {
public:
    // Topic of the messages between peers.
    static constexpr const char* topic = "server_probe";

    ServerEndProbe(boost::asio::io_context& context, const ServingView& view, BackendLinks& links,
        PeerClient& peers, HostId self);

    // Whether the server at an address has ended whose connection has just ended.
    boost::asio::awaitable<bool> hasEnded(Endpoint server);
    // Response to a peer's question.
    boost::asio::awaitable<std::string> respondTo(std::string question);

private:
    enum class Observation {
        Reached,
        Refused,
        // Refused, but the host that says so reaches no other server either.
        RefusedAlone,
        Unknown,
    };

    // Name in messages between peers.
    static const char* observationName(Observation observation);
    // What this host can tell.
    boost::asio::awaitable<Observation> observe(Endpoint server);
    // What peers can tell, until one of them is certain. If none of them reaches any server, all servers have ended.
    boost::asio::awaitable<Observation> askPeers(Endpoint server);
    boost::asio::awaitable<Observation> ask(Endpoint peer, Endpoint server);
    // Peers to ask, those in other failure domains first, because a domain often loses its links as a whole.
    std::vector<PeerHost> peersToAsk(const Endpoint& server) const;

    boost::asio::io_context& m_context;
    const ServingView& m_view;
    BackendLinks& m_links;
    PeerClient& m_peers;
    HostId m_self;
};

}
