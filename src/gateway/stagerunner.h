#pragma once

#include "gateway/requestscope.h"
#include "gateway/stagerouter.h"
#include "libserving/stageplan.h"

namespace Apricot {

// Result of all stages of a request.
struct StagesResult {
    // Done, or the outcome of the stage that failed first.
    StageWorkOutcome outcome = StageWorkOutcome::Done;
    Milliseconds retryAfter { 0 };
    // Handles of the results that the model engine reads.
    std::vector<std::string> inputs;
    // Bytes of these results in each failure domain.
    std::map<FailureDomainId, double> inputBytes;
    // Results that are not released yet.
    std::vector<StageResults> results;
};

// Runs the stages of requests, each as soon as the stages that it depends on are done.
class StageRunner {
public:
    StageRunner(boost::asio::io_context& context, StageRouter& router);

    // Runs all stages. engineTime is the expected time from the last stage to the first event of the
    // engine, engineDomain the failure domain of the engine that will likely run the request.
    boost::asio::awaitable<StagesResult> run(
        ServedRequest& request, Milliseconds engineTime, FailureDomainId engineDomain);
    void release(const std::vector<StageResults>& results);

private:
    // State of one request's stages, shared with the coroutines that run them.
    struct Progress;
    struct PickedGroups;

    void startReadyStages(const std::shared_ptr<Progress>& progress);
    // Whether a request cannot meet its deadline, by the backlogs that the groups last reported; sets
    // retryAfter.
    bool isInfeasible(Progress& progress, Milliseconds& retryAfter) const;
    // Creates the work item of a stage for its home, and records the stage's expected end.
    StageWork makeWork(Progress& progress, int stage);
    // Remaining time of each stage in milliseconds, including its expected wait.
    std::vector<double> remainingTimes(Progress& progress) const;
    // Chooses the group that a stage runs at.
    int chooseGroup(Progress& progress, int stage) const;
    // Delays a stage that no other stage reads so that it ends together with the others, because its
    // results occupy capacity until the engine reads them.
    boost::asio::awaitable<void> delayFinalStage(std::shared_ptr<Progress> progress, int stage);
    // The failure domain in which a stage preferably runs, and the bytes that cross failure domains if it
    // runs elsewhere.
    struct PreferredLocation {
        FailureDomainId domain;
        double crossDomainBytes = 0;
    };
    PreferredLocation preferredLocation(const Progress& progress, int stage) const;
    void releaseFullyRead(Progress& progress);
    // Records why the request can't continue, and cancels its other stages.
    static void onStageFailed(Progress& progress, const StageWorkResult& result);
    boost::asio::awaitable<void> runStage(std::shared_ptr<Progress> progress, int stage);
    boost::asio::awaitable<StageWorkResult> runStageWithRetry(
        std::shared_ptr<Progress> progress, int stage, StageResults& results);

    boost::asio::io_context& m_context;
    StageRouter& m_router;
};

}
