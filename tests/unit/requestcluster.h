#pragma once

#include "libapricot/recordtable.h"

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

// Faults that a run of RequestCluster meets, each as a chance out of a hundred.
struct ClusterFaults {
    int kill = 0;
    int freeze = 0;
    int callerDisconnect = 0;
    int attemptFailure = 0;
    int rejection = 0;
    // Hosts before this one meet rejections.
    std::size_t rejectingHostCount = 100;
    int duplicate = 0;
    int claimResponseLoss = 0;
    // An answer between hosts that comes too late.
    int peerTimeout = 0;
    bool platformDown = false;
    // An input that crashes the backend server that runs it; the server's other runs crash with it.
    std::string poison;
};

// One run of a stage as the backend servers saw it.
struct BackendRun {
    Apricot::AttemptId attempt;
    std::string input;
    int createdAtStep = 0;
    // Step at which the attempt's coordinator began to run the request.
    int requestStartStep = 0;
    std::size_t host = 0;
    bool crashed = false;
};

// A caller that asks, and asks again through another host when its stream is cut.
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

// Several hosts with their records, backend servers and the platform's claims, in one thread. What
// is under way between them is delivered in an order drawn from the seed.
class RequestCluster {
public:
    RequestCluster(unsigned seed, std::size_t hostCount, ClusterFaults faults);

    Apricot::CatalogueEntry entry;

    // Adds a caller; it submits at the next step.
    std::size_t addCaller(const std::string& key, const std::string& input);
    // Delivers events until every caller is answered, or the steps are used up.
    void run(int steps);
    // Asks again with the same key after a refusal.
    void askAgain(std::size_t caller);
    // Kills the host that runs a caller's request.
    void killCoordinator(std::size_t caller);
    // Ends faults, thaws all hosts and lets the time of kept records pass by a little.
    void clearFaults();

    const ClusterCaller& caller(std::size_t index) const { return m_callers[index]; }
    std::size_t callerCount() const { return m_callers.size(); }
    const std::vector<BackendRun>& runs() const { return m_runs; }
    // Broken promises, as text; empty when all held.
    const std::vector<std::string>& violations() const { return m_violations; }
    static std::vector<std::string> stageTokens(const std::string& stage, const std::string& input);
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
        // Newest epoch that began and ended unseen while the host was frozen.
        Apricot::ObjectVersion missedEpoch = 0;
        std::vector<Apricot::Member> members;
        std::map<Apricot::RequestKey, std::vector<Apricot::CopyResponse>> responses;
        std::map<Apricot::RequestKey, int> requestStartSteps;
    };
    struct Event {
        // Host that handles the event; the number of hosts stands for the world outside.
        std::size_t host = 0;
        int incarnation = 0;
        std::function<void()> handle;
        // What the sender does once it has waited too long for a host that is dead or frozen.
        std::function<void()> timeout {};
    };
    using Record = std::shared_ptr<Apricot::RequestRecord>;
    // An attempt that runs on a backend server.
    struct ActiveRun {
        std::size_t host = 0;
        Record record;
        std::size_t server = 0;
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
    void execute(std::size_t host, const Record& record, const Apricot::SharePoisonAction& action);
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
    // A few minutes after the time of the keys that tests use.
    Apricot::WallTime m_wallNow { std::chrono::milliseconds(1'688'096'200'000) };
    int m_step = 0;
    Apricot::ObjectVersion m_epoch = 0;
    std::vector<Host> m_hosts;
    // Members of each epoch, from the first.
    std::vector<std::vector<Apricot::Member>> m_membersByEpoch;
    std::vector<Event> m_events;
    std::vector<ClusterCaller> m_callers;
    std::vector<BackendRun> m_runs;
    std::map<Apricot::AttemptId, ActiveRun> m_active;
    std::map<std::string, std::string> m_claims;
    std::vector<std::string> m_violations;
};
