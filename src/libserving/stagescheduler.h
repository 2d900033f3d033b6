#pragma once

#include "libapricot/endpoint.h"
#include "libserving/resultcapacity.h"
#include "libserving/servingconfig.h"
#include "libserving/stagework.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace Apricot {

struct StageSchedulerOptions {
    // A server that takes so many times its stated time is used only to see whether it has recovered.
    double maxSlowdownFactor = 2.2;
    // Time between two such looks.
    Milliseconds probeInterval { 2000 };
    // A call is given up after so many times the time that it should take, and so much more.
    double timeoutFactor = 2.0;
    Milliseconds timeoutMargin { 400 };
    // The pieces of a call that has taken so many times its time, and so much more, may run elsewhere
    // too; the first result counts.
    double overdueFactor = 1.5;
    Milliseconds overdueMargin { 60 };
    // How long a server that failed a call gets no other one.
    Milliseconds failurePause { 300 };
    // How long a server that was full gets no other call.
    Milliseconds fullPause { 60 };
    // Longest wait for a server in the work's own failure domain, and the bytes for which it is waited
    // so long; for fewer bytes it is shorter in proportion.
    Milliseconds preferredDomainWait { 300 };
    double preferredDomainWaitBytes = 1'000'000;
    // Results of at least so many bytes keep the pieces of one stage in one failure domain.
    double minColocatedBytes = 30'000;
    ResultCapacityOptions resultCapacity = {};
    // Longest time that a server gets no call that found no room for most pieces; the time doubles up
    // to it.
    Milliseconds maxFullPause { 500 };
    // Time between two looks for work that has become hopeless.
    Milliseconds deadlineCheckInterval { 100 };
    // Time between two looks for room while pieces wait for it.
    Milliseconds capacityPollInterval { 40 };
    // Calls in which one piece may fail.
    int attemptLimit = 3;
    // Least pace that is counted with; many pieces cost less than the pool's stated time.
    double minSlowdownFactor = 0.4;
    // Weight of the newest call in a server's pace.
    double slowdownFactorWeight = 0.4;
};

// A server that runs pieces.
struct StageServer {
    BackendServerId id;
    Endpoint endpoint;
    FailureDomainId domain;

    auto operator<=>(const StageServer&) const = default;
};

// A call to make now.
struct PlannedCall {
    std::uint64_t id = 0;
    StageServer server;
    std::vector<PlannedPiece> pieces;
    Milliseconds timeout { 0 };
};

// Why a call brought no results.
enum class StageCallFailure {
    // The server ran nothing.
    Refused,
    // The server can't be reached or broke off.
    Broken,
    // No answer came in time.
    TimedOut,
};

// Gathers the pieces of a pool's stage from all requests into full calls, one at a time for each
// server, the most urgent request first. Answers the load at which the servers are always busy: a
// call costs far more than a piece, so pieces wait while every server is busy and leave together.
// Under more load than the servers bear, what can still meet its objective goes before what cannot,
// by rank, and what cannot be done at all is turned away on arrival or as soon as that is known.
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

    // Takes work in. An overload is returned at once, and the work is not taken.
    std::optional<StageWorkResult> submit(TaskId id, StageWork work, TimePoint now);
    // Drops work whose caller left.
    void cancel(TaskId id);
    // Ends work of which nothing has been done, for another home to do.
    void handOverWaiting();
    // Calls to make now.
    std::vector<PlannedCall> planCalls(TimePoint now);
    // A call's answer, with one result for each piece.
    void onCallAnswered(std::uint64_t call, const std::vector<PieceResult>& results, TimePoint now);
    void onCallFailed(std::uint64_t call, StageCallFailure failure, TimePoint now);
    // A result was released.
    void onResultReleased(const std::string& handle, TimePoint now) { m_resultCapacity.release(handle, now); }
    // Work that has ended since the last call of this function.
    std::vector<EndedTask> drainEnded(TimePoint now);

    // Results whose request has ended meanwhile, to be released.
    std::vector<std::string> drainUnclaimedResults() { return std::exchange(m_unclaimedResults, {}); }

    // When planCalls() or drainEnded() may have something new though nothing else happens.
    std::optional<TimePoint> nextEvent(TimePoint now) const;
    std::size_t waitingPieces() const;
    // Servers that take calls, each counted by its pace.
    double workingServers(TimePoint now) const;
    // Bytes of results that a server is taken to hold.
    double resultBytesUsed(const BackendServerId& id) const { return m_resultCapacity.usedBytes(id); }
    // How long new work waits, for each rank that has work waiting, by rising rank.
    std::vector<StageBacklog> backlog(TimePoint now) const;

private:
    struct Task {
        StageWork work;
        TimePoint latestObjectiveStart {};
        TimePoint latestDeadlineStart {};
        // When the last result has to be there.
        TimePoint latestEnd {};
        TimePoint callerLeavesAt {};
        // Until then only servers of the work's failure domain take it.
        TimePoint preferredDomainUntil {};
        std::set<int> waitingPieces;
        // Pieces in calls that are not overdue.
        int runningPieces = 0;
        int pieceFailures = 0;
        std::vector<std::string> handles;

        bool isDone() const;
        // Whether no call has carried a piece of it.
        bool isUnstarted() const;
    };
    struct Server {
        StageServer server;
        std::optional<std::uint64_t> call;
        double slowdownFactor = 1;
        TimePoint pausedUntil {};
        TimePoint nextProbeAt {};
        // Calls in a row that found no room.
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
        // From then on its pieces may run elsewhere too.
        TimePoint overdueAt {};
        bool isOverdue = false;
    };

    bool precedes(const Task& left, TaskId leftId, const Task& right, TaskId rightId,
        TimePoint now) const;
    std::vector<TaskId> orderedTasks(TimePoint now) const;
    double expectedCallMilliseconds(std::size_t pieces) const;
    Milliseconds estimateWait(const Task& task, TaskId id, TimePoint now) const;
    Milliseconds estimateServerWait(double piecesAhead, int pieces, TimePoint now) const;
    // How long work waits for room that needs so many bytes with what goes before it.
    Milliseconds estimateCapacityWait(double bytes, TimePoint now) const;
    std::vector<Server*> idleServers(TimePoint now);
    bool mayRunOn(const Task& task, const Server& server, TimePoint now) const;
    bool hasServerIn(const FailureDomainId& domain) const;
    FailureDomainId mostCommonDomain(const std::vector<std::string>& handles) const;
    void completeTask(TaskId id, const Task& task);
    std::vector<CallPiece> choosePieces(
        const Server& server, const std::vector<TaskId>& order, TimePoint now, std::size_t limit);
    PlannedCall startCall(Server& server, std::vector<CallPiece> pieces, TimePoint now);
    void applyResult(const Call& call, const CallPiece& piece, const PieceResult& result, TimePoint now);
    void storeHandle(const CallPiece& piece, const std::string& handle);
    // Lets a piece wait again.
    static void requeuePiece(Task& task, int piece);
    void onPieceFailed(TaskId id, Task& task, int piece);
    // Lets the pieces of calls that take too long run elsewhere.
    void requeueOverdueCalls(TimePoint now);
    void endTask(TaskId id, StageWorkResult result);
    void addUnclaimedResults(const Task& task);
    void endLateTasks(TimePoint now);
    void failTasksWithoutServers();
    void endTasksBeyondDeadline(TimePoint now);
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
