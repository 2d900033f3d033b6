#pragma once

#include "gateway/hostregistration.h"
#include "gateway/storefollower.h"
#include "libserving/outofservicedomains.h"
#include "libserving/servingview.h"

#include <array>

namespace Apricot {

// Updates the serving view from the store, and registers this host there.
class ServingViewUpdater {
public:
    ServingViewUpdater(boost::asio::io_context& context, PlatformClient& store, ServingView& view,
        StoreCallCounter& calls, const HostId& self, PeerHost selfEntry);

    void start();
    // Removes this host's entry from the store, so that other hosts stop relying on it.
    boost::asio::awaitable<void> deregister() { return m_registration.deregister(); }
    // Sets how long what is known takes precedence over an older copy of the store.
    void setSettleTime(Milliseconds time);
    std::vector<StoreFollower*> followers();
    // Whether the objects of a follower are too large to be relayed between hosts, except at startup and
    // in an outage.
    bool isTooLargeToRelay(const StoreFollower& follower) const
    {
        return &follower == &m_configFollower && m_configSize > maxRelayedConfigBytes;
    }
    // Whether at least one kind of objects cannot be read from the store.
    bool isStoreLost() const;
    // Whether the configuration is older than a responsive store, or responsive peers, would leave it.
    bool isConfigOverdue() const { return m_configFollower.isOverdue(); }
    // Called with what the store contains about requests that crash servers.
    void setPoisonHandlers(std::function<void(const PlatformList&)> onListed,
        std::function<void(const PlatformEvent&)> onChanged);
    // Follows the operator's orders to roll out versions too. Called before start().
    void followRollouts(std::function<void(const PlatformList&)> onListed,
        std::function<void(const PlatformEvent&)> onChanged);
    // Called after changes of the view, once for those that arrived together.
    void setChangeHandler(std::function<void()> handler) { m_changeHandler = std::move(handler); }
    // Called when a kind of objects is known to have been current.
    void setConfirmedHandler(std::function<void()> handler) { m_confirmedHandler = std::move(handler); }
    // Whether configuration and servers, each of them, are known to have been current since the start or cannot be read.
    bool isConfirmed() const;

private:
    // Each host reads larger configurations from the store, whose link has more bandwidth than a host's.
    static constexpr std::size_t maxRelayedConfigBytes = 32'768;

    static constexpr std::size_t followerCount = 6;

    std::array<const StoreFollower*, followerCount> allFollowers() const;
    // Whether the store is not responding to this host.
    bool isStoreAway() const;
    StoreFollower makeFollower(StoreFollowerOptions options,
        std::function<void(const PlatformList&)> onListed,
        std::function<void(const PlatformEvent&)> onChanged);
    // Milliseconds since a kind of objects is known to have been current; null if it never was.
    boost::json::value ageOf(const std::string& prefix);
    // Handles the return of the store from an older copy.
    void onStoreRestored(const std::string& prefix, ObjectVersion lastRevision);
    // Follows the store again, whatever was known before, once the settle time has passed.
    boost::asio::awaitable<void> endSettling();
    void applyConfig(const std::string& key, ObjectVersion revision, const boost::json::value& value);
    void applyServerList(const PlatformList& list);
    void applyServerEvent(const PlatformEvent& event);
    void applyEvacuations();
    void applyHostList(const PlatformList& list);
    void applyHostEvent(const PlatformEvent& event);
    void notifyChanged();
    // The list of hosts shows whether peers relay the other kinds of objects, so they are read after it.
    void startOtherFollowers();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    ServingView& m_view;
    StoreCallCounter& m_calls;
    HostId m_self;
    HostRegistration m_registration;
    std::function<void()> m_changeHandler;
    std::function<void()> m_confirmedHandler;
    Milliseconds m_settleTime = ServerDirectoryOptions {}.settleTime;
    TimePoint m_settledAt {};
    OutOfServiceDomains m_outOfServiceDomains { m_settleTime };
    std::size_t m_configSize = 0;
    // Hosts that an older copy of the store lacks and that have not registered again.
    std::set<HostId> m_unconfirmedHosts;
    bool m_areHostsRestored = false;
    bool m_areOthersStarted = false;
    StoreProbeState m_probeState;
    StoreFollower m_configFollower;
    StoreFollower m_serversFollower;
    StoreFollower m_evacuationsFollower;
    StoreFollower m_hostsFollower;
    std::function<void(const PlatformList&)> m_onPoisonListed;
    std::function<void(const PlatformEvent&)> m_onPoisonChanged;
    StoreFollower m_poisonFollower;
    std::function<void(const PlatformList&)> m_onRolloutsListed;
    std::function<void(const PlatformEvent&)> m_onRolloutChanged;
    StoreFollower m_rolloutFollower;
};

}
