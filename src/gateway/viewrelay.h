#pragma once

#include "gateway/beliefkeeper.h"
#include "libnet/peerstream.h"
#include "libserving/relaytree.h"

namespace Apricot {

// Brings this host what its peers know of the store: always where there are many hosts, so that only
// a few ask the store, and otherwise while the store does not answer this host. A host that starts in
// an outage can serve by it.
class ViewRelay {
public:
    ViewRelay(boost::asio::io_context& context, BeliefKeeper& belief, ServingView& view,
        PeerClient& peers, HostId self, std::vector<Endpoint> seeds);

    void start();
    // The hosts of the view have changed.
    void hostsChanged();
    // Answer to a peer's question for what it lacks.
    std::string answer(const std::string& question) const;

    // Topic of the question and its answer between peers.
    static constexpr const char* topic = "view";

private:
    boost::asio::awaitable<void> askInTurn();
    boost::asio::awaitable<void> ask(Endpoint peer);
    // Peers to ask in turn.
    std::vector<Endpoint> peersToAsk() const;
    std::string question() const;
    void take(const std::string& answer, const std::string& peer);

    boost::asio::io_context& m_context;
    BeliefKeeper& m_belief;
    ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    std::vector<Endpoint> m_seeds;
    RelayPosition m_position;
    std::size_t m_next = 0;
};

}
