#pragma once

#include "libapricot/endpoint.h"
#include "libserving/resultcapacity.h"
#include "libserving/servingconfig.h"
#include "libserving/stagework.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Apricot {

struct StageSchedulerOptions {
    // Slowdown factor (actual time of a call relative to its expected time) above which a server is only
    // probed for recovery, with one piece at a time.
    double maxSlowdownFactor = 2.2;
    // Time between two probes of a slow server.
    Milliseconds probeInterval { 2000 };
    // A call times out after its expected time, scaled by this factor and by the server's slowdown factor,
    // plus the margin.
    double timeoutFactor = 2.0;
    Milliseconds timeoutMargin { 400 };
    // A call is overdue after its expected time, scaled by this factor and by the server's slowdown factor,
    // plus the margin. Its pieces may then run on another server as well; the first result is used.
    double overdueFactor = 1.5;
    Milliseconds overdueMargin { 60 };
    // How long a server receives no calls after a failed one.
    Milliseconds failurePause { 300 };
    // How long a server receives no calls after it refused one or had no capacity for at least
    // half of its pieces. Doubles with each further call without capacity, up to `maxFullPause`.
    Milliseconds fullPause { 60 };
    // Longest wait for a server in the preferred failure domain of the work. It applies if at least
    // `preferredDomainWaitBytes` would cross domains; for fewer bytes the wait is proportionally shorter.
    Milliseconds preferredDomainWait { 300 };
    double preferredDomainWaitBytes = 1'000'000;
    // Minimum result size per piece for which all pieces of a stage prefer the same failure domain.
    double minColocatedBytes = 30'000;
    ResultCapacityOptions resultCapacity = {};
    // Upper bound of `fullPause` after doubling.
    Milliseconds maxFullPause { 500 };
    // Time between two checks for late work that can no longer meet its deadline.
    Milliseconds deadlineCheckInterval { 100 };
    // Time between two checks for result capacity while pieces wait.
    Milliseconds capacityPollInterval { 40 };
    // Work fails after this number of broken calls, or of failed pieces, multiplied by its number of pieces.
    int attemptLimit = 3;
    // Work runs alone once this number of its calls broke, so that it does not fail other work if it breaks
    // further ones.
    int exclusiveBrokenCalls = 2;
    // Lower bound of the slowdown factor in estimates; many pieces take less time than the pool's
    // configuration states.
    double minSlowdownFactor = 0.4;
    // Weight of the newest call in the moving average of a server's slowdown factor.
    double slowdownFactorWeight = 0.4;
};

// A server that runs pieces of stages.
struct StageServer {
    BackendServerId id;
    Endpoint endpoint;
    FailureDomainId domain;
    // See ServerEntry::startedAt.
    std::int64_t startedAt = 0;

    auto operator<=>(const StageServer&) const = default;
};

// A call that is to be made now.
struct PlannedCall {
    std::uint64_t id = 0;
    StageServer server;
    std::vector<PlannedPiece> pieces;
    Milliseconds timeout { 0 };
};

// Whether work may run, and with other work.
enum class StageWorkPermit {
    Shared,
    // Its calls contain no other work.
    Exclusive,
    // The request crashes servers.
    Poisoned,
};

// Why a call returned no results.
enum class StageCallFailure {
    // The server refused the call without running a piece.
    Refused,
    // The server could not be reached.
    NotSent,
    // The server's limit permitted no call.
    Limited,
    // The connection broke after the call was sent, or the response was malformed.
    Broken,
    // No response arrived in time.
    TimedOut,
};

// Batches the pieces of all requests for a group of stage servers into calls, one call at a time per
// server, the most urgent request first. Designed for a load that keeps all servers busy: a call costs far
// more than a piece, so pieces wait while every server is busy and are then sent together.
// Under overload, work that can still meet its objective runs before work that cannot, in order of rank.
// Work that cannot meet its deadline is rejected on arrival, or ended as soon as that is known.
class StageScheduler {
public:
    using TaskId = std::uint64_t;
    struct EndedTask {
        TaskId task = 0;
        StageWorkResult result;
    };

    StageScheduler(StageTraits traits, StageSchedulerOptions options = {});

    void setTraits(const StageTraits& traits);
    void setServers(const std::vector<StageServer>& servers);
    // Plans no calls of a server before the time that the function returns for it.
    void pauseServers(const std::function<TimePoint(const StageServer&)>& availableAt);

    // Accepts work and returns nothing, or returns the result at once: Done for work without pieces,
    // Overloaded for the first work of a request that cannot meet its deadline.
    std::optional<StageWorkResult> submit(TaskId id, StageWork work, TimePoint now);
    // Removes work whose caller disconnected.
    void cancel(TaskId id);
    // Ends the work of poisoned requests, and sets which work runs exclusively.
    void applyPermits(const std::function<StageWorkPermit(Fingerprint)>& permitOf);
    // Ends the work whose pieces all wait and have not failed, so that another home can run it.
    void handOverWaiting();
    std::vector<PlannedCall> planCalls(TimePoint now);
    // Reports the response to a call; `results` has one entry per piece, in the order of the call.
    void onCallAnswered(std::uint64_t call, const std::vector<PieceResult>& results, TimePoint now);
    void onCallFailed(std::uint64_t call, StageCallFailure failure, TimePoint now);
    void onResultReleased(const std::string& handle, TimePoint now)
    {
        m_resultCapacity.release(handle, now);
    }
    // Returns and clears the tasks that have ended.
    std::vector<EndedTask> drainEnded(TimePoint now);

    // Returns and clears the handles of results that no task needs; the caller must release them.
    std::vector<std::string> drainUnclaimedResults() { return std::exchange(m_unclaimedResults, {}); }

    // Earliest time at which planCalls() or drainEnded() can return something new without another event.
    std::optional<TimePoint> nextEvent(TimePoint now) const;
    std::size_t waitingPieces() const;
    // Number of servers that accept calls, each weighted by the inverse of its slowdown factor.
    double workingServers(TimePoint now) const;
    // Bytes of results of this scheduler's calls that a server holds.
    double resultBytesUsed(const BackendServerId& id) const { return m_resultCapacity.usedBytes(id); }
    // Expected wait of new work for each rank that has waiting work, in increasing order of rank.
    std::vector<StageBacklog> backlog(TimePoint now) const;

private:
    struct Task {
        StageWork work;
        // Latest starts with which the request meets its objective and its deadline.
        TimePoint latestObjectiveStart {};
        TimePoint latestDeadlineStart {};
        // When the last result must be available to meet the deadline.
        TimePoint latestEnd {};
        TimePoint callerLeavesAt {};
        // Until then only servers in the preferred failure domain run the work.
        TimePoint preferredDomainUntil {};
        std::set<int> waitingPieces;
        // Number of pieces in calls that are not overdue.
        int runningPieces = 0;
        int pieceFailures = 0;
        // Calls with pieces of this work that broke.
        int brokenCalls = 0;
        bool isExclusive = false;
        // Handle of each piece's result; empty until the piece is done.
        std::vector<std::string> handles;

        bool isDone() const;
        // Whether all pieces wait and none has failed.
        bool isUnstarted() const;
    };
    struct Server {
        StageServer server;
        // The call in flight.
        std::optional<std::uint64_t> call;
        double slowdownFactor = 1;
        TimePoint pausedUntil {};
        TimePoint nextProbeAt {};
        // Consecutive calls in which at least half of the pieces found no capacity.
        int consecutiveFullCalls = 0;
        bool isListed = true;
    };
    struct CallPiece {
        TaskId task = 0;
        int piece = 0;
        double resultBytes = 0;
    };
    struct Call {
        BackendServerId server;
        std::vector<CallPiece> pieces;
        TimePoint startedAt {};
        Milliseconds expectedTime { 0 };
        // From then on the pieces may also run on other servers.
        TimePoint overdueAt {};
        bool isOverdue = false;
    };

    bool precedes(const Task& left, TaskId leftId, const Task& right, TaskId rightId,
        TimePoint now) const;
    std::vector<TaskId> orderedTasks(TimePoint now) const;
    // Expected time of a call with this number of pieces.
    double expectedCallMilliseconds(std::size_t pieces) const;
    Milliseconds estimateWait(const Task& task, TaskId id, TimePoint now) const;
    // Wait for a server for work of `pieces` pieces behind `piecesAhead` pieces that go first.
    Milliseconds estimateServerWait(double piecesAhead, int pieces, TimePoint now) const;
    // Wait for result capacity; `bytes` includes the results of all work that goes first.
    Milliseconds estimateCapacityWait(double bytes, TimePoint now) const;
    std::vector<Server*> idleServers(TimePoint now);
    bool canRunOn(const Task& task, const Server& server, TimePoint now) const;
    bool hasServerIn(const FailureDomainId& domain) const;
    FailureDomainId mostCommonDomain(const std::vector<std::string>& handles) const;
    void completeTask(TaskId id, const Task& task);
    std::vector<CallPiece> choosePieces(
        const Server& server, const std::vector<TaskId>& order, TimePoint now, std::size_t limit);
    PlannedCall startCall(Server& server, std::vector<CallPiece> pieces, TimePoint now);
    void applyResult(const Call& call, const CallPiece& piece, const PieceResult& result, TimePoint now);
    void storeHandle(const CallPiece& piece, const std::string& handle);
    // Makes a running piece wait again unless its result is available.
    static void requeuePiece(Task& task, int piece);
    void onPieceFailed(TaskId id, Task& task, int piece);
    void onCallBroken(const Call& call);
    // Makes the pieces of overdue calls wait again, so that other servers can run them too.
    void requeueOverdueCalls(TimePoint now);
    void endTask(TaskId id, StageWorkResult result);
    void addUnclaimedResults(const Task& task);
    void endLateTasks(TimePoint now);
    void failTasksWithoutServers();
    // Ends late tasks that can no longer meet their deadline.
    void endTasksBeyondDeadline(TimePoint now);
    // Records whether a call found its server full, and pauses the server if so.
    void updateCapacity(Server& server, const std::vector<PieceResult>& results, TimePoint now);
    void endCall(std::map<std::uint64_t, Call>::iterator call);

    StageTraits m_traits;
    StageSchedulerOptions m_options;
    std::map<TaskId, Task> m_tasks;
    std::map<BackendServerId, Server> m_servers;
    std::map<std::uint64_t, Call> m_calls;
    ResultCapacity m_resultCapacity;
    std::vector<EndedTask> m_ended;
    std::vector<std::string> m_unclaimedResults;
    std::uint64_t m_nextCall = 1;
    TimePoint m_nextDeadlineCheckAt {};
};

}
