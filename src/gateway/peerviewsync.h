#pragma once

#include "gateway/servingviewupdater.h"
#include "libnet/peerstream.h"
#include "libserving/relaytree.h"

namespace Apricot {

// Synchronizes the serving view with peers: always in a system of many hosts, so that only a few of them
// read the store, and otherwise while the store does not respond to this host. This also lets a host that
// starts during a store outage serve requests.
class PeerViewSync {
public:
    PeerViewSync(boost::asio::io_context& context, ServingViewUpdater& viewUpdater, ServingView& view,
        PeerClient& peers, HostId self, std::vector<Endpoint> seeds);

    void start();
    // Updates this host's position among the relaying hosts after the hosts of the view have changed.
    void onHostsChanged();
    // Response to a peer's request for the changes that it is missing.
    std::string respondTo(const std::string& request) const;

    // Topic of the requests and responses between peers.
    static constexpr const char* topic = "view";

private:
    boost::asio::awaitable<void> pollPeers();
    boost::asio::awaitable<void> requestView(Endpoint peer);
    // Peers to poll in turn.
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
