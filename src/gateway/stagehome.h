#pragma once

#include "gateway/backendcaller.h"
#include "libnet/asyncevent.h"
#include "libserving/stagescheduler.h"

#include <map>
#include <memory>

namespace Apricot {

// Runs pieces for all hosts at the groups of stage servers whose home this host is.
class StageHome {
public:
    StageHome(boost::asio::io_context& context, ServingView& view, BackendCaller& backendCaller);

    // Runs one stage of one request to its end. Cancelling drops it.
    boost::asio::awaitable<StageWorkResult> run(StageWork work, std::shared_ptr<HttpCancel> cancel);
    // Runs it even while this host stops, when no other home could be reached.
    boost::asio::awaitable<StageWorkResult> runEvenIfStopping(
        StageWork work, std::shared_ptr<HttpCancel> cancel);
    // Gives back what waits, for the next homes to do, and takes no more.
    void stop();
    // Drops results that are not needed any more.
    void release(const PoolId& pool, int group, const std::vector<std::string>& handles);

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
        std::vector<std::string> releases;
        RuntimeTimer releaseTimer;
        bool isReleasing = false;
    };
    using GroupKey = std::pair<PoolId, int>;

    Group* findGroup(const PoolId& pool, int group);
    void refreshServers(const GroupKey& key, Group& group);
    // Starts what may start, hands out what has ended, and comes back when time alone changes that.
    void advance(const GroupKey& key);
    boost::asio::awaitable<void> callServer(GroupKey key, PlannedCall planned);
    boost::asio::awaitable<void> sendReleases(GroupKey key);

    boost::asio::io_context& m_context;
    ServingView& m_view;
    BackendCaller& m_backendCaller;
    std::map<GroupKey, std::unique_ptr<Group>> m_groups;
    std::uint64_t m_nextTaskId = 1;
    bool m_isStopping = false;
};

}
