#pragma once

#include "gateway/storefollower.h"
#include "libserving/servingview.h"

namespace Apricot {

// Keeps the view of the deployment up to date from the store, and this host's own entry in it.
class ServingViewUpdater {
public:
    ServingViewUpdater(boost::asio::io_context& context, PlatformClient& store, ServingView& view,
        HostId self, PeerHost selfEntry);

    void start();
    // Takes this host's entry out of the store, so that the others stop to count on it.
    boost::asio::awaitable<void> deregister();
    std::vector<StoreFollower*> followers();
    // Whether the objects of a follower are too large to be passed between hosts as a rule.
    bool isTooLargeToRelay(const StoreFollower& follower) const
    {
        return &follower == &m_configFollower && m_configSize > maxRelayedConfigBytes;
    }
    // Whether the store does not answer this host at present, for any kind of objects.
    bool isStoreLost() const;
    // Called after each change of the view.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }

private:
    // Larger configurations are read from the store by each host; its link bears more than a host's.
    static constexpr std::size_t maxRelayedConfigBytes = 32'768;

    StoreFollower makeFollower(StoreFollowerOptions options,
        std::function<void(const PlatformList&)> onListed,
        std::function<void(const PlatformEvent&)> onChanged);
    void applyConfig(const std::string& key, ObjectVersion revision, const boost::json::value& value);
    void applyServerList(const PlatformList& list);
    void applyServerEvent(const PlatformEvent& event);
    void applyEvacuations();
    void applyHostList(const PlatformList& list);
    void applyHostEvent(const PlatformEvent& event);
    void notifyChanged();
    boost::asio::awaitable<void> registerHost();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    ServingView& m_view;
    HostId m_self;
    PeerHost m_selfEntry;
    std::function<void()> m_changeHandler;
    std::set<FailureDomainId> m_outOfServiceDomains;
    std::size_t m_configSize = 0;
    bool m_isRegistered = false;
    bool m_isLeaving = false;
    StoreProbeState m_probeState;
    StoreFollower m_configFollower;
    StoreFollower m_serversFollower;
    StoreFollower m_evacuationsFollower;
    StoreFollower m_hostsFollower;
};

}
