#pragma once

#include "gateway/backendcaller.h"
#include "libnet/asyncevent.h"
#include "libserving/receivedhandles.h"
#include "libserving/stagescheduler.h"

#include <map>
#include <memory>

namespace Apricot {

// Schedules the pieces of all hosts on the groups of stage servers whose home is this host.
class StageHome {
public:
    StageHome(boost::asio::io_context& context, ServingView& view, BackendCaller& backendCaller,
        const PoisonTable& poison);

    // Runs one stage of one request and returns its result. Cancelling discards the stage.
    boost::asio::awaitable<StageWorkResult> run(StageWork work, std::shared_ptr<HttpCancel> cancel);
    // Runs a stage even while this host is stopping, for when no other home can be reached.
    boost::asio::awaitable<StageWorkResult> runEvenIfStopping(
        StageWork work, std::shared_ptr<HttpCancel> cancel);
    // Returns waiting work as handed over, so that callers send it to the next homes, and accepts no
    // more.
    void stop();
    // Releases results that are no longer needed.
    void release(const PoolId& pool, int group, const std::vector<std::string>& handles);

    // Hands over all waiting work if this host reaches no server.
    void onLinksChanged();
    // Ends the work of requests that have become poisoned.
    void onPoisonChanged();

    std::size_t waitingPieces() const;

private:
    struct Waiter {
        explicit Waiter(boost::asio::io_context& context)
            : ended(context.get_executor())
        {
        }

        AsyncEvent ended;
        std::optional<StageWorkResult> result;
    };
    struct PendingRelease {
        std::string handle;
        // When the result expires anyway.
        TimePoint expiresAt {};
    };
    struct Group {
        explicit Group(boost::asio::io_context& context, const StageTraits& traits)
            : scheduler(traits)
            , timer(context)
            , releaseTimer(context)
        {
        }

        StageScheduler scheduler;
        RuntimeTimer timer;
        std::uint64_t serversGeneration = 0;
        std::map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
        std::vector<PendingRelease> releases;
        RuntimeTimer releaseTimer;
        bool isReleasing = false;
    };
    using GroupKey = std::pair<PoolId, int>;

    Group* findGroup(const PoolId& pool, int group);
    void refreshServers(const GroupKey& key, Group& group);
    void handOverWaiting(const GroupKey& key, Group& group);
    // Starts the calls that are due, completes the tasks that have ended, and sets a timer for the next
    // change that depends on time only.
    void advance(const GroupKey& key);
    // Pauses the servers of a version on trial that have had their share of the calls.
    void pauseRolloutTargets(const GroupKey& key, Group& group, TimePoint now);
    void recordRolloutAnswer(const PoolId& pool, const PlannedCall& planned, const ServerEntry& server,
        const std::optional<std::vector<PieceResult>>& results, StageCallFailure failure, TimePoint sentAt);
    StageWorkPermit permitFor(Fingerprint fingerprint, TimePoint now) const;
    void reportRuns(const PlannedCall& planned, RunEnd end, TimePoint sentAt);
    boost::asio::awaitable<void> callServer(GroupKey key, PlannedCall planned);
    void scheduleReleases(const GroupKey& key, Milliseconds delay);
    boost::asio::awaitable<void> sendReleases(GroupKey key, Milliseconds delay);
    // Acquires what the server at an address requires for a release of results.
    boost::asio::awaitable<bool> mayRelease(Endpoint endpoint);

    boost::asio::io_context& m_context;
    ServingView& m_view;
    BackendCaller& m_backendCaller;
    const PoisonTable& m_poison;
    ReceivedHandles m_receivedHandles;
    std::map<GroupKey, std::unique_ptr<Group>> m_groups;
    std::uint64_t m_nextTaskId = 1;
    bool m_isStopping = false;
};

}
