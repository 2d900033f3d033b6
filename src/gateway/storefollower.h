#pragma once

#include "libnet/asyncevent.h"
#include "platform/platformclient.h"

#include <deque>
#include <functional>
#include <limits>
#include <map>

namespace Apricot {

struct StoreFollowerOptions {
    // Prefix of the followed objects: their kind followed by a slash.
    std::string prefix;
    // Wait of one watch, and age from which what is known should be confirmed again.
    Milliseconds watchTimeout { 2000 };
    // Time between a response with changes and the next watch, so that changes in quick succession cost
    // one call.
    Milliseconds batchDelay { 300 };
    // Time between two attempts while the store does not respond; doubles up to the maximum.
    Milliseconds retryDelay { 250 };
    Milliseconds maxRetryDelay { 1000 };
    // The state relayed by peers replaces this host's own reads of the store up to this age.
    Milliseconds maxRelayedAge { 1500 };
    // Whether responses about other kinds of objects confirm that these have not changed, so that a watch may wait long.
    bool isConfirmedByOthers = false;
    // Whether a host whose relayed state is too old reads these objects even while it waits for a response about others.
    bool isRefreshedAtOnce = false;
    // Whether the objects are read again, beside all other calls and pauses, once what is known of them is overdue.
    bool hasBoundedAge = false;
    // Whether the first list after the start may be seconds old. What has changed since comes from peers or a watch.
    bool startsFromStaleList = true;
    // Size of the objects in one response to a peer. Smaller for objects that come in bulk and may be late, so that they do
    // not hold up news of the other kinds.
    std::size_t maxRelayedBytes = std::numeric_limits<std::size_t>::max();
};

// Why a follower calls the store.
enum class StoreCallReason : std::uint8_t {
    // Reads the objects after the start of the process.
    Start,
    // Lists them again: the history since the known revision is lost, or a response cannot be read.
    Relist,
    // Waits for changes.
    Watch,
    // Finds out whether the store responds again.
    Outage,
    // What peers relay is too old.
    Outdated,
    // A peer knows of a newer revision but does not relay its objects.
    NewerAtPeer,
    // Another object of the store has changed.
    CatchUp,
    // What is known is overdue: a call, or a pause, takes too long.
    Overdue,
};

const char* storeCallReasonName(StoreCallReason reason);

// Shared by the followers of one store: while the store does not respond, one of them probes it and the
// others wait. The same holds while one of them refreshes what peers relay too late, because its response may confirm
// the others.
struct StoreProbeState {
    const void* prober = nullptr;
    const void* refresher = nullptr;
};

// The changes of one kind of objects between the revision that this host requested and the one that a
// peer has.
struct StoreDelta {
    // Revision of the store up to which the peer's objects are current.
    ObjectVersion revision = 0;
    // Time since the store confirmed this revision to the peer.
    Milliseconds age { 0 };
    // Whether the objects are a complete snapshot; otherwise they are the changed ones.
    bool isSnapshot = false;
    // Whether the peer has later changes too, which follow in its next response.
    bool isPartial = false;
    std::vector<PlatformObject> objects;
    std::vector<std::string> removed;
};

// Follows the objects of one kind in the store: lists them, watches for changes, and lists them again
// when the change log of the store no longer covers its revision. Where peers watch on behalf of this
// host, it reads the store only when their state is too old.
class StoreFollower {
public:
    struct Handlers {
        std::function<void(const PlatformList&)> onListed;
        std::function<void(const PlatformEvent&)> onChanged;
        // All changes that arrived together have been reported.
        std::function<void()> onApplied;
        // The store is about to be called.
        std::function<void(StoreCallReason)> onCall;
        // The objects cannot be read, with the reason, or can be read again.
        std::function<void(const std::string&)> onLost;
        std::function<void()> onRegained;
        // A number of objects have no readable name or version.
        std::function<void(std::size_t)> onRejected;
        // The store came back from an older copy; called before onListed with the last known revision.
        std::function<void(ObjectVersion)> onRestored;
        // All objects are known to have been current at a time.
        std::function<void(TimePoint)> onConfirmed;
        // The store had a revision at a time or later.
        std::function<void(ObjectVersion, TimePoint)> onStoreRevision;
        // The store responds, but may never respond to calls that were sent before a time.
        std::function<void(TimePoint)> onCallsLost;
        // What is known became overdue, or is no longer, after it was for a time.
        std::function<void()> onOverdue;
        std::function<void(Duration)> onOverdueEnded;
    };

    StoreFollower(boost::asio::io_context& context, PlatformClient& store, StoreProbeState& probeState,
        StoreFollowerOptions options, Handlers handlers);

    // Follows for as long as the io_context runs.
    void start();
    // Whether the objects cannot be read.
    bool isLost() const { return m_isLost; }
    // Whether the objects are known to have been current at some time since the start.
    bool isConfirmed() const { return m_evidenceAt != TimePoint {}; }
    // Latest time at which the objects are known to have been current.
    TimePoint confirmedAt() const { return m_evidenceAt; }
    // Time from which what is known is older than a responsive store, or responsive peers, would leave it.
    TimePoint overdueAt() const;
    bool isOverdue() const;
    // Whether the store does not respond; otherwise it may have responded with something malformed.
    bool isStoreAway() const { return m_isStoreAway; }
    const std::string& prefix() const { return m_options.prefix; }
    // Revision of the store up to which the objects are current.
    ObjectVersion revision() const { return m_revision; }
    // Sets the number of steps by which peers relay the store to this host; zero if it reads the store itself.
    void setRelayDepth(int depth);
    // Sets whether this host watches the store on behalf of peers; if so, the times replace those of the
    // options.
    void setWatcher(bool isWatcher, Milliseconds watchTimeout, Milliseconds batchDelay);
    const StoreFollowerOptions& options() const { return m_options; }

    // The changes that a peer with this revision is missing.
    StoreDelta deltaSince(ObjectVersion revision, TimePoint now) const;
    // The same, or the oldest of these changes if their objects are larger than the limit of a response. A partial delta
    // confirms nothing: its age is the one that the peer gave for what it knows.
    StoreDelta limitedDeltaSince(ObjectVersion revision, Milliseconds peerAge, TimePoint now) const;
    // Applies the changes of a peer, unless they are older than the known state. Returns whether the
    // revision advanced.
    bool applyDelta(const StoreDelta& delta, TimePoint now);
    // Reports the revision that the store had at a time or later, as a response about other objects shows. Without a change
    // of any object since the known revision, the objects were current then; otherwise what has changed is read if it was
    // not confirmed lately.
    void onStoreRevision(ObjectVersion revision, TimePoint knownAt);
    // Ends the call in progress if it was sent before a time, and repeats it at once.
    void abandonCallsBefore(TimePoint time);
    // Records the revision and age of a peer's state. If the peer's revision is newer, a relayed host reads
    // the store at once.
    void recordEvidence(ObjectVersion revision, Milliseconds age, TimePoint now);

private:
    struct Removal {
        ObjectVersion revision = 0;
        std::string key;
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> readOnce();
    boost::asio::awaitable<void> readList(PlatformReadOptions options);
    // Reads what has changed beside a waiting watch, which the store may have lost.
    boost::asio::awaitable<void> catchUp();
    // Reads what has changed, whatever else waits. Returns whether anything has. Throws PlatformUnavailable.
    boost::asio::awaitable<bool> readChanges(PlatformReadOptions options);
    // Reads the objects again whenever what is known is overdue.
    boost::asio::awaitable<void> boundAge();
    boost::asio::awaitable<void> readOverdue();
    // Waits until a time, or until a read of what is overdue succeeds.
    boost::asio::awaitable<void> waitForAge(TimePoint until);
    // Applies the response to a watch that was sent at a time. Returns whether it contained changes.
    bool applyWatch(const PlatformWatch& watched, TimePoint sentAt, Milliseconds wait);
    boost::asio::awaitable<void> pause(Duration time);
    // Until when what peers relay replaces this host's own reads of the store.
    TimePoint reliesOnPeersUntil() const;
    // Why the store is called next.
    StoreCallReason nextCallReason() const;
    // How long the next watch waits.
    Milliseconds watchWait() const;
    // Whether responses about other objects have shown lately that the store responds.
    bool isConfirmedLately() const;
    bool isRelayed() const { return m_relayDepth > 0; }
    // Age up to which what peers relay replaces this host's own reads of the store.
    Milliseconds maxAgeFromPeers() const;
    // Time until the next attempt after a failure, which grows up to the interval of probes.
    Milliseconds retryDelay() const;
    // Time between two attempts to reach a store that does not respond.
    Milliseconds probeInterval() const;
    void applyList(const PlatformList& list);
    void applyEvent(const PlatformEvent& event);
    void recordRemoval(const std::string& key, ObjectVersion revision);
    void recordPeerEvidence(Milliseconds age, TimePoint now);
    // Records that the store's response shows the objects as they were at a time or later.
    void recordStoreEvidence(TimePoint knownAt);
    void notifyApplied();
    void notifyConfirmed();
    void notifyStoreRevision(ObjectVersion revision, TimePoint knownAt);
    void onReadFailed(const std::string& reason, bool isStoreAway);
    void reportRejected(std::size_t count);
    void onStoreResponse();
    void endOutage();

    boost::asio::io_context& m_context;
    PlatformClient& m_store;
    StoreProbeState& m_probeState;
    StoreFollowerOptions m_options;
    Handlers m_handlers;
    RuntimeTimer m_pauseTimer;
    RuntimeTimer m_ageTimer;
    ObjectVersion m_revision = 0;
    std::map<std::string, PlatformObject> m_objects;
    // Removals since a revision; peers with an older revision get a snapshot.
    std::deque<Removal> m_removals;
    ObjectVersion m_removalsSince = 0;
    // Latest time at which the objects are known to have been current.
    TimePoint m_evidenceAt {};
    Milliseconds m_retryDelay;
    // Until when a host that has just listed the objects waits for its peers to relay what has changed since.
    TimePoint m_peersExpectedBy {};
    bool m_mustList = true;
    bool m_hasListed = false;
    bool m_mustReadStore = false;
    bool m_isLost = false;
    bool m_isStoreAway = false;
    int m_relayDepth = 0;
    bool m_isCatchingUp = false;
    // The call in progress and when it was sent; null between calls.
    std::shared_ptr<HttpCancel> m_call;
    TimePoint m_calledAt {};
    // When the last call that failed was sent.
    TimePoint m_failedCallAt {};
    // Number of reads in progress because what is known is overdue.
    int m_overdueReads = 0;
    Milliseconds m_watchTimeout;
    Milliseconds m_batchDelay;
    TimePoint m_startedAt;
};

}
