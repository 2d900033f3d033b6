#pragma once

#include "gateway/beliefkeeper.h"
#include "libnet/peerstream.h"

namespace Apricot {

// Brings this host what its peers know of the store while the store does not answer it, and answers
// the same question of peers. A host that starts in an outage can serve by it.
class ViewRelay {
public:
    ViewRelay(boost::asio::io_context& context, BeliefKeeper& belief, ServingView& view,
        PeerClient& peers, HostId self, std::vector<Endpoint> seeds);

    void start();
    // Answer to a peer's question: the lists that are newer than the revisions that it has.
    std::string answer(const std::string& question) const;

    // Topic of the question and its answer between peers.
    static constexpr const char* topic = "view";

private:
    boost::asio::awaitable<void> askWhileLost();
    boost::asio::awaitable<void> ask(Endpoint peer);
    // Peers in turn: those that the store listed, and the seeds.
    std::vector<Endpoint> peersToAsk() const;

    boost::asio::io_context& m_context;
    BeliefKeeper& m_belief;
    ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    std::vector<Endpoint> m_seeds;
    std::size_t m_next = 0;
};

}
