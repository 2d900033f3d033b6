#pragma once

#include "libapricot/configstore.h"
#include "libnet/controlmessages.h"
#include "libnet/peerstream.h"
#include "platform/platformclient.h"

#include <functional>
#include <random>

namespace Apricot {

struct ConfigWatcherOptions {
    // Longest wait of one watch. Its end renews what is known even if nothing changes.
    Milliseconds watchTimeout { 1000 };
    // Pause after a failed call, and between two checks of whether to watch at all.
    Milliseconds retryInterval { 500 };
    // A daemon that is no watcher watches too once it has learned nothing for so long.
    Milliseconds staleTime { 2500 };
};

// Keeps the configuration up to date: a few watchers of a cell read the platform, and the other
// members take it from their peers. Runs on the control thread.
class ConfigWatcher {
public:
    // Tells whether this daemon is one of the cell's watchers now.
    using IsWatcher = std::function<bool()>;
    // Called after each step by which more is known.
    using OnAdvance = std::function<void()>;

    ConfigWatcher(boost::asio::io_context& context, PlatformClient& platform, PeerClient& peers,
        ConfigWatcherOptions options);

    void start(IsWatcher isWatcher, OnAdvance onAdvance);
    // Takes what a peer knows beyond this daemon, unless a question to a peer is under way.
    void fetchFrom(PeerEndpoint peer, ObjectVersion peerRevision);
    // Answers such a question of a peer.
    ConfigResponseMessage respondTo(const std::vector<PrefixRevision>& prefixRevisions) const;

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
