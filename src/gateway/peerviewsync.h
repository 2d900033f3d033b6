#pragma once

#include "gateway/servingviewupdater.h"
#include "libnet/peerstream.h"
#include "libserving/relaytree.h"

namespace Apricot {

// Brings this host what its peers know of the store: always where there are many hosts, so that only
// a few ask the store, and otherwise while the store does not answer this host. A host that starts in
// an outage can serve by it.
class PeerViewSync {
public:
    PeerViewSync(boost::asio::io_context& context, ServingViewUpdater& viewUpdater, ServingView& view,
        PeerClient& peers, HostId self, std::vector<Endpoint> seeds);

    void start();
    // The hosts of the view have changed.
    void onHostsChanged();
    // Answer to a peer's question for what it lacks.
    std::string respondTo(const std::string& request) const;

    // Topic of the question and its answer between peers.
    static constexpr const char* topic = "view";

private:
    boost::asio::awaitable<void> pollPeers();
    boost::asio::awaitable<void> requestView(Endpoint peer);
    // Peers to ask in turn.
    std::vector<Endpoint> peersToPoll() const;
    std::string makeRequest() const;
    void applyResponse(const std::string& response, const std::string& peer);

    boost::asio::io_context& m_context;
    ServingViewUpdater& m_viewUpdater;
    ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    std::vector<Endpoint> m_seeds;
    RelayPosition m_position;
    std::size_t m_nextPeer = 0;
};

}
