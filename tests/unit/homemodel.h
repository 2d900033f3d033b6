#pragma once

#include "libapricot/replicaledger.h"

#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <vector>

// One step of a random history. HomeModel::apply() defines what each kind does with the two numbers.
struct ModelStep {
    int kind = 0;
    int process = 0;
    int amount = 0;
};

std::ostream& operator<<(std::ostream& stream, const ModelStep& step);

// Simulates several processes that are home of one server in turn, and the server itself. The runs on
// the server are the reference that the ledgers of the processes are checked against.
class HomeModel {
public:
    HomeModel(int coldCap, int requestsToWarm);
    ~HomeModel();

    HomeModel(const HomeModel&) = delete;
    HomeModel& operator=(const HomeModel&) = delete;

    void apply(const ModelStep& step);

    int coldViolations() const { return m_coldViolations; }
    int startedRuns() const { return m_startedRuns; }
    int capViolations() const { return m_capViolations; }
    // Longest time from taking the server out of service to the start of a run. Excludes runs whose
    // process froze between check and write.
    Apricot::Duration longestLateStart() const { return m_longestLateStart; }

private:
    enum class RunOutcome {
        Finished,
        ConnectionLost,
        TimedOut,
    };

    struct Process {
        Apricot::ControlView view;
        std::unique_ptr<Apricot::ReplicaLedger> ledger;
        std::vector<Apricot::CallNumber> reservedCalls;
        // Call that passed its check but is not written yet, because the process froze in between.
        std::optional<Apricot::CallNumber> checkedCall;
        // Outcomes of runs that ended while the process was frozen.
        std::vector<std::pair<Apricot::CallNumber, RunOutcome>> unreadOutcomes;
        bool isFrozen = false;
        // Whether it is cut off from the platform and from its peers, though not from the server.
        bool isCutOff = false;
        bool isAlive = true;

        bool isRunning() const { return isAlive && !isFrozen; }
    };

    struct Run {
        std::size_t processIndex = 0;
        Apricot::CallNumber number = 0;
        Apricot::TimePoint startedAt;
        std::optional<Apricot::TimePoint> closedAt;
    };

    std::size_t addProcess(const std::string& host);
    std::size_t pickLiveProcess(int choice) const;
    bool isServerCold() const;
    void produceTokens();
    void submitCall(std::size_t index);
    void startReservedCall(std::size_t index, bool freezesBeforeWrite);
    void startRun(std::size_t index, Apricot::CallNumber number, bool wasDelayed);
    void thaw(std::size_t index);
    void kill(std::size_t index);
    void reassign(std::size_t index);
    void finishRun(int choice);
    void cancelRun(int choice);
    void crashServer();
    void setOutOfService(bool isOutOfService);
    void releasePredecessors(Process& home);
    void pollHealth(std::size_t index);
    void advanceTime(Apricot::Duration time);
    void updateViews();
    void endExpiredRuns();
    void deliverOutcome(std::size_t index, Apricot::CallNumber number, RunOutcome outcome);
    bool isConfirmedStopped(const Process& process) const;
    std::size_t findProcess(const std::string& incarnation) const;
    std::shared_ptr<const Apricot::Catalogue> relayedCatalogue() const;
    std::string reportedIncarnation() const;
    void recordStarts(std::size_t index, const Apricot::LedgerActions& actions);

    int m_coldCap;
    int m_requestsToWarm;
    std::vector<Process> m_processes;
    std::vector<Run> m_runs;
    std::shared_ptr<const Apricot::Catalogue> m_catalogue;
    std::shared_ptr<const Apricot::Catalogue> m_previousCatalogue;
    Apricot::TimePoint m_catalogueChangedAt;
    Apricot::TimePoint m_crashedAt;
    Apricot::CellState m_cell;
    Apricot::ObjectVersion m_epoch = 1;
    std::optional<Apricot::TimePoint> m_outOfServiceSince;
    std::size_t m_homeIndex = 0;
    std::uint64_t m_serverIncarnation = 1;
    Apricot::CallNumber m_nextCallNumber = 1;
    int m_finishedSinceCold = 0;
    int m_coldViolations = 0;
    int m_startedRuns = 0;
    int m_capViolations = 0;
    Apricot::Duration m_longestLateStart {};
};
