#pragma once

#include "gateway/requestscope.h"
#include "gateway/stagerouter.h"
#include "libserving/stageplan.h"

namespace Apricot {

// How all stages of a request ended together.
struct StagesResult {
    // Done, or why the first stage that failed did.
    StageWorkOutcome outcome = StageWorkOutcome::Done;
    Milliseconds retryAfter { 0 };
    // Results for the model engine.
    std::vector<std::string> inputs;
    // Bytes of them in each failure domain.
    std::map<FailureDomainId, double> inputBytes;
    // Results that are not released yet.
    std::vector<StageResults> results;
};

// Runs the stages of requests, each as soon as those that it reads are done.
class StageRunner {
public:
    StageRunner(boost::asio::io_context& context, StageRouter& router);

    // Runs all stages. The engine's time is what the request needs after them to its first event, and
    // its failure domain is where it will likely run.
    boost::asio::awaitable<StagesResult> run(
        ServedRequest& request, Milliseconds engineTime, FailureDomainId engineDomain);
    void release(const std::vector<StageResults>& results);

private:
    // The stages of one request on their way; shared with the coroutines that run them.
    struct Progress;
    struct PickedGroups;

    void startReadyStages(const std::shared_ptr<Progress>& progress);
    // Whether a request can't be served in time by what the groups last told of their backlogs; sets when
    // to come back.
    bool isInfeasible(Progress& progress, Milliseconds& retryAfter) const;
    // Describes a stage for its home, and notes when it should end.
    StageWork makeWork(Progress& progress, int stage);
    // Time that each stage needs from now on, with its expected wait.
    std::vector<double> remainingTimes(Progress& progress) const;
    // Group that a stage goes to.
    int chooseGroup(Progress& progress, int stage) const;
    // Waits until a stage that no other stage reads will end together with the others, so that its
    // results take up room no longer than they must.
    boost::asio::awaitable<void> delayFinalStage(std::shared_ptr<Progress> progress, int stage);
    // Where a stage is best run, and the bytes that cross failure domains when it is run elsewhere.
    struct PreferredLocation {
        FailureDomainId domain;
        double crossDomainBytes = 0;
    };
    PreferredLocation preferredLocation(const Progress& progress, int stage) const;
    void releaseFullyRead(Progress& progress);
    // Notes why the request can't go on and ends its other stages.
    static void onStageFailed(Progress& progress, const StageWorkResult& result);
    boost::asio::awaitable<void> runStage(std::shared_ptr<Progress> progress, int stage);
    boost::asio::awaitable<StageWorkResult> runStageWithRetry(
        std::shared_ptr<Progress> progress, int stage, StageResults& results);

    boost::asio::io_context& m_context;
    StageRouter& m_router;
};

}
