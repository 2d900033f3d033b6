#pragma once

#include "libapricot/recordtable.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Faults injected into a run of RequestCluster. Values of type int are
// probabilities in percent.
struct ClusterFaults {
    int kill = 0;
    int freeze = 0;
    int callerDisconnect = 0;
    int attemptFailure = 0;
    int rejection = 0;
    // Attempts are rejected only on hosts with an index below this.
    std::size_t rejectingHostCount = 100;
    int duplicate = 0;
    int claimResponseLoss = 0;
    // The response of a follower to a copy arrives after the timeout.
    int peerTimeout = 0;
    bool platformDown = false;
    // An attempt whose input contains this text crashes its backend server and all other attempts
    // on that server. Disabled while empty.
    std::string poison;
};

// One run of a stage on a backend server.
struct BackendRun {
    Apricot::AttemptId attempt;
    std::string input;
    int createdAtStep = 0;
    // Step at which the attempt's coordinator started to run the request.
    int requestStartStep = 0;
    std::size_t host = 0;
    bool crashed = false;
};

// Caller that submits a request and resubmits it, possibly through another host, when its stream
// is disconnected.
struct ClusterCaller {
    Apricot::RequestKey key;
    std::string input;
    std::size_t host = 0;
    std::shared_ptr<Apricot::RequestRecord> record;
    Apricot::CallerId id = 0;
    std::vector<std::string> tokens;
    Apricot::TimePoint deadline {};
    std::optional<Apricot::Refusal> refusal;
    bool completed = false;
    bool attached = false;
};

// Single-threaded simulation of several hosts with their records, of backend servers and of the
// platform's claims. Messages between them are delivered in an order drawn from the seed.
class RequestCluster {
public:
    RequestCluster(unsigned seed, std::size_t hostCount, ClusterFaults faults);

    Apricot::CatalogueEntry entry;

    // Adds a caller, which submits its request at the next step, and returns its index.
    std::size_t addCaller(const std::string& key, const std::string& input);
    // Delivers events until every caller has completed or been refused and no event is pending, at
    // most for this number of steps.
    void run(int steps);
    // Resubmits a refused request with the same key.
    void askAgain(std::size_t caller);
    // Kills and restarts the host that coordinates a caller's request.
    void killCoordinator(std::size_t caller);
    // Disables all faults, unfreezes all hosts and advances the time by 1 s, so that the hosts'
    // record coverage observes their members again.
    void clearFaults();

    const ClusterCaller& caller(std::size_t index) const { return m_callers[index]; }
    std::size_t callerCount() const { return m_callers.size(); }
    const std::vector<BackendRun>& runs() const { return m_runs; }
    // Descriptions of the violated guarantees; empty if all of them held.
    const std::vector<std::string>& violations() const { return m_violations; }
    // Tokens that a backend server produces for a stage and its input.
    static std::vector<std::string> stageTokens(const std::string& stage, const std::string& input);
    // Tokens of the complete response to an input, after all stages.
    std::vector<std::string> expectedTokens(const std::string& input) const;

private:
    struct Host {
        Apricot::HostId id;
        int incarnation = 0;
        bool frozen = false;
        bool member = true;
        std::unique_ptr<Apricot::RecordTable> table;
        Apricot::RetryBudget retries;
        Apricot::PoisonTable poison;
        Apricot::ObjectVersion epoch = 0;
        // Newest epoch published while the host was frozen. The host's record coverage does not
        // observe the epochs up to this one that it skipped.
        Apricot::ObjectVersion missedEpoch = 0;
        std::vector<Apricot::Member> members;
        std::map<Apricot::RequestKey, std::vector<Apricot::CopyResponse>> responses;
        std::map<Apricot::RequestKey, int> requestStartSteps;
    };
    struct Event {
        // Index of the host that handles the event. The number of hosts stands for the backend
        // servers and the platform.
        std::size_t host = 0;
        int incarnation = 0;
        std::function<void()> handle;
        // Called when the sender's wait for a dead or frozen host times out.
        std::function<void()> timeout {};
    };
    using Record = std::shared_ptr<Apricot::RequestRecord>;
    // Attempt that is running on a backend server.
    struct ActiveRun {
        std::size_t host = 0;
        Record record;
        std::size_t server = 0;
        // No other attempt may run on the server at the same time.
        bool exclusive = false;
    };

    void advanceTime(Apricot::Duration time);
    bool drawChance(int percent);
    std::size_t drawBelow(std::size_t bound);
    void schedule(std::size_t host, std::function<void()> handle,
        std::function<void()> timeout = {});
    void deliverRandomEvent();
    void injectFaults();
    void killHost(std::size_t host);
    void startHost(std::size_t host);
    void publishMembers();
    Apricot::RequestContext makeContext(std::size_t host);
    std::vector<std::size_t> rankedHosts(std::size_t host, const Apricot::RequestKey& key) const;
    void submit(ClusterCaller& caller);
    void readNext(ClusterCaller& caller);
    void checkRefusal(const ClusterCaller& caller);
    void detachCaller(ClusterCaller& caller);
    void executeActions(
        std::size_t host, const Record& record, const Apricot::RequestActions& actions);
    void execute(std::size_t host, const Record& record, const Apricot::StoreCopyAction& action);
    void storeAtFollowers(std::size_t host, const Record& record,
        const Apricot::StoreCopyAction& action, std::vector<std::size_t> followers,
        std::vector<Apricot::CopyResponse> responses);
    void onStoreFinished(std::size_t host, const Record& record,
        const Apricot::StoreCopyAction& action,
        const std::vector<Apricot::CopyResponse>& responses);
    void execute(std::size_t host, const Record& record, const Apricot::ClaimAction& action);
    void execute(std::size_t host, const Record& record, const Apricot::StartAttemptAction& action);
    void execute(
        std::size_t host, const Record& record, const Apricot::CancelAttemptAction& action);
    void execute(std::size_t host, const Record& record, const Apricot::SendPoisonNoticeAction& action);
    void runAttempt(std::size_t host, const Record& record, const BackendRun& run,
        const Apricot::StartAttemptAction& action, std::size_t server);
    bool hasCapacity(std::size_t server, bool exclusive) const;
    void crashServer(std::size_t server);
    void sendToken(std::size_t host, const Record& record,
        const Apricot::StartAttemptAction& action, std::uint64_t index, std::uint64_t stopAt);
    void endAttempt(std::size_t host, const Record& record, Apricot::StageOutcome outcome);

    std::mt19937 m_random;
    ClusterFaults m_faults;
    Apricot::TimePoint m_now { std::chrono::hours(1) };
    // A few minutes after the timestamp in the UUIDv7 key that the tests use.
    Apricot::WallTime m_wallNow { std::chrono::milliseconds(1'688'096'200'000) };
    int m_step = 0;
    Apricot::ObjectVersion m_epoch = 0;
    std::vector<Host> m_hosts;
    // Members of each epoch; the first element is epoch 1.
    std::vector<std::vector<Apricot::Member>> m_membersByEpoch;
    std::vector<Event> m_events;
    std::vector<ClusterCaller> m_callers;
    std::vector<BackendRun> m_runs;
    std::map<Apricot::AttemptId, ActiveRun> m_active;
    std::map<std::string, std::string> m_claims;
    std::vector<std::string> m_violations;
};
