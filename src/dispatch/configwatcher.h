#pragma once

#include "libapricot/configstore.h"
#include "libnet/controlmessages.h"
#include "libnet/peerstream.h"
#include "platform/platformclient.h"

#include <functional>
#include <random>

namespace Apricot {

struct ConfigWatcherOptions {
    // Maximum duration of one watch. Each end of a watch confirms the revision even if nothing has
    // changed.
    Milliseconds watchTimeout { 1000 };
    // Delay after a failed call, and between two checks of whether this daemon should watch.
    Milliseconds retryInterval { 500 };
    // A daemon that is not a watcher watches too after this time without a newer revision.
    Milliseconds staleTime { 2500 };
};

// Keeps the configuration up to date: a few members of a cell watch the platform, and the others
// fetch changes from their peers. Runs on the control thread.
class ConfigWatcher {
public:
    // Whether this daemon currently is one of the cell's watchers.
    using IsWatcher = std::function<bool()>;
    // Called whenever the configuration or its revision has advanced.
    using OnAdvance = std::function<void()>;

    ConfigWatcher(boost::asio::io_context& context, PlatformClient& platform, PeerClient& peers,
        ConfigWatcherOptions options);

    void start(IsWatcher isWatcher, OnAdvance onAdvance);
    // Fetches newer configuration from a peer, unless a request to a peer is already in flight.
    void fetchFrom(PeerEndpoint peer, ObjectVersion peerRevision);
    // Changes since the revisions that a peer has, in response to its request.
    ConfigResponseMessage respondTo(const std::vector<PrefixRevision>& revisions) const;

    const ConfigStore& store() const { return m_store; }

private:
    boost::asio::awaitable<void> followPrefix(std::string prefix);
    boost::asio::awaitable<void> listOrWatch(const std::string& prefix, bool& needsList);
    boost::asio::awaitable<void> fetch(PeerEndpoint peer);
    void applyDelta(const ConfigDelta& delta);
    bool shouldWatch() const;

    boost::asio::io_context& m_context;
    PlatformClient& m_platform;
    PeerClient& m_peers;
    ConfigWatcherOptions m_options;
    ConfigStore m_store;
    IsWatcher m_isWatcher;
    OnAdvance m_onAdvance;
    TimePoint m_advancedAt {};
    bool m_isFetching = false;
};

}
