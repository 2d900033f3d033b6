#pragma once

#include "gateway/servingviewupdater.h"
#include "gateway/viewrequestjson.h"
#include "libnet/peerstream.h"
#include "libserving/relaytree.h"

#include <list>

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
    // Wakes the requests of peers that wait for news.
    void onConfirmed();
    // Response to a peer's request for the changes that it is missing, once there are any or its wait is over.
    boost::asio::awaitable<std::string> respondTo(std::string request);
    // Responds to waiting requests, and to later ones without a wait.
    void stop();

    // Topic of the requests and responses between peers.
    static constexpr const char* topic = "view";

private:
    boost::asio::awaitable<void> pollPeers();
    // Returns whether the response brought news.
    boost::asio::awaitable<bool> pollPeer(Endpoint peer);
    boost::asio::awaitable<void> requestView(Endpoint peer);
    // Peers to poll in turn.
    std::vector<Endpoint> peersToPoll() const;
    ViewRequest makeRequest() const;
    std::string makeResponse(const ViewRequest& request, TimePoint receivedAt) const;
    void applyResponse(const std::string& response, const std::string& peer, TimePoint sentAt);
    // Whether this host knows something that a peer did not know when it sent a request at a time.
    bool hasNewsFor(const ViewRequest& request, TimePoint receivedAt) const;
    boost::asio::awaitable<void> waitForNews(TimePoint until);
    // When each kind of objects is known to have been current, and its revision.
    std::vector<std::pair<ObjectVersion, TimePoint>> knowledge() const;
    // Whether what this host knows is so old that its other parent may know more.
    bool isBehind() const;

    boost::asio::io_context& m_context;
    ServingViewUpdater& m_viewUpdater;
    ServingView& m_view;
    PeerClient& m_peers;
    HostId m_self;
    std::vector<Endpoint> m_seeds;
    RelayPosition m_position;
    std::size_t m_nextPeer = 0;
    RuntimeTimer m_pollTimer;
    // Timers of the requests of peers that wait for news.
    std::list<RuntimeTimer*> m_waits;
    bool m_isStopping = false;
};

}
