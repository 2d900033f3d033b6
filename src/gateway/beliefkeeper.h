#pragma once

#include "gateway/storefollower.h"
#include "libserving/servingview.h"

namespace Apricot {

// Keeps the view of the deployment up to date from the store, and this host's own entry in it.
class BeliefKeeper {
public:
    BeliefKeeper(boost::asio::io_context& context, PlatformClient& store, ServingView& view,
        HostId self, PeerHost selfEntry);

    void start();
    // Takes this host's entry out of the store, so that the others stop to count on it.
    boost::asio::awaitable<void> deregister();
    std::vector<StoreFollower*> followers();
    // Whether the objects of a follower are too large to be passed between hosts as a rule.
    bool isLarge(const StoreFollower& follower) const
    {
        return &follower == &m_config && m_configBytes > relayedBytes;
    }
    // Whether the store does not answer this host at present, for any kind of objects.
    bool isStoreLost() const;
    // Called after each change of the view.
    void setChangeHandler(std::function<void()> handler) { m_changed = std::move(handler); }

private:
    // Larger configurations are read from the store by each host; its link bears more than a host's.
    static constexpr std::size_t relayedBytes = 32'768;

    StoreFollower makeFollower(StoreFollowerOptions options,
        std::function<void(const PlatformList&)> listed,
        std::function<void(const PlatformEvent&)> changed);
    void takeConfig(const std::string& key, ObjectVersion revision, const boost::json::value& value);
    void takeServers(const PlatformList& list);
    void takeServer(const PlatformEvent& event);
    void takeEvacuations();
    void takeHosts(const PlatformList& list);
    void takeHost(const PlatformEvent& event);
    void noteChange();
    boost::asio::awaitable<void> keepRegistered();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    ServingView& m_view;
    HostId m_self;
    PeerHost m_selfEntry;
    std::function<void()> m_changed;
    std::set<FailureDomainId> m_domainsOut;
    std::size_t m_configBytes = 0;
    bool m_isRegistered = false;
    bool m_isLeaving = false;
    StoreContact m_contact;
    StoreFollower m_config;
    StoreFollower m_servers;
    StoreFollower m_evacuations;
    StoreFollower m_hosts;
};

}
