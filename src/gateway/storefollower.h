#pragma once

#include "libnet/asyncevent.h"
#include "platform/platformclient.h"

#include <deque>
#include <functional>
#include <map>

namespace Apricot {

struct StoreFollowerOptions {
    // Kind of objects to follow, with its slash.
    std::string prefix;
    // How long one watch waits. A store that went silent for a while may never answer a watch that it
    // was asked before, so this bounds how late a change is seen afterwards.
    Milliseconds watchTimeout { 2000 };
    // Time between an answer with changes and the next watch, so that changes that come together cost
    // one call.
    Milliseconds batchDelay { 300 };
    // Time between two tries while the store does not answer; doubles up to the longest.
    Milliseconds retryDelay { 250 };
    Milliseconds maxRetryDelay { 1000 };
    // Peers' knowledge of the store stands in for this host's own as long as it is no older.
    Milliseconds maxRelayedAge { 1500 };
};

// Shared by the followers of one store: while it does not answer, one of them tries and the others
// wait for it.
struct StoreProbeState {
    const void* prober = nullptr;
};

// What a peer knows of one kind of objects beyond what it was told that this host knows.
struct StoreDelta {
    // Revision of the store up to which the peer knows the objects.
    ObjectVersion revision = 0;
    // How long ago the store told the peer that this was so.
    Milliseconds age { 0 };
    // Whether the objects are all that there are; otherwise they are those that changed.
    bool isSnapshot = false;
    std::vector<PlatformObject> objects;
    std::vector<std::string> removed;
};

// Follows the objects of one kind in the store: lists them, then watches for changes, and lists again
// when the store's history no longer reaches back. Where peers watch for this host, it asks the store
// only when their knowledge is too old.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const PlatformList&)> onListed;
        std::function<void(const PlatformEvent&)> onChanged;
        // The store stopped to answer, or answers again; with the reason.
        std::function<void(const std::string&)> onLost;
        std::function<void()> onRegained;
    };

    StoreFollower(boost::asio::io_context& context, PlatformClient& store, StoreProbeState& probeState,
        StoreFollowerOptions options, Handlers handlers);

    // Follows for as long as the io_context runs.
    void start();
    bool isLost() const { return m_isLost; }
    const std::string& prefix() const { return m_options.prefix; }
    // Revision of the store up to which the objects are known.
    ObjectVersion revision() const { return m_revision; }
    // Whether peers watch for this host.
    void setRelayed(bool isRelayed) { m_isRelayed = isRelayed; }
    // Whether this host watches for peers, with the times of its watches then.
    void setWatcher(bool isWatcher, Milliseconds watchTimeout, Milliseconds batchDelay);
    const StoreFollowerOptions& options() const { return m_options; }

    // What a peer that knows the objects up to a revision lacks.
    StoreDelta deltaSince(ObjectVersion revision, TimePoint now) const;
    // Takes what a peer knows. An older state than is known here is dropped; returns whether anything
    // was new.
    bool applyDelta(const StoreDelta& delta, TimePoint now);
    // Takes the age of a peer's knowledge; where the peer knows more, the store is asked at once.
    void recordEvidence(ObjectVersion revision, Milliseconds age, TimePoint now);

private:
    struct Removal {
        ObjectVersion revision = 0;
        std::string key;
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> readOnce();
    boost::asio::awaitable<void> pause(Duration time);
    bool canRelyOnPeers(TimePoint now) const;
    void applyList(const PlatformList& list);
    void applyEvent(const PlatformEvent& event);
    void recordRemoval(const std::string& key, ObjectVersion revision);
    void recordPeerEvidence(Milliseconds age, TimePoint now);
    void onStoreLost(const std::string& reason);
    void onStoreResponse();
    void endOutage();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    StoreProbeState& m_probeState;
    StoreFollowerOptions m_options;
    Handlers m_handlers;
    RuntimeTimer m_pauseTimer;
    ObjectVersion m_revision = 0;
    std::map<std::string, PlatformObject> m_objects;
    // Removals since a revision; older ones are only told by a whole list.
    std::deque<Removal> m_removals;
    ObjectVersion m_removalsSince = 0;
    // Latest time at which the objects are known to have been the newest.
    TimePoint m_evidenceAt {};
    Milliseconds m_retryDelay;
    bool m_mustList = true;
    bool m_mustReadStore = false;
    bool m_isLost = false;
    bool m_isRelayed = false;
    Milliseconds m_watchTimeout;
    Milliseconds m_batchDelay;
};

}
