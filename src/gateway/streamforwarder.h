#pragma once

#include "gateway/plainforwarder.h"
#include "gateway/stagerunner.h"
#include "libserving/coldlimiter.h"
#include "libserving/engineplacement.h"
#include "libserving/eventsplitter.h"
#include "libserving/firsteventestimator.h"

namespace Apricot {

// Serves requests that model engines answer as streams of events: runs their stages, chooses an
// engine, and passes whole events on as they arrive.
class StreamForwarder {
public:
    StreamForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries,
        ColdLimiter& coldLimiter, StageRunner& stages);

    boost::asio::awaitable<ServedOutcome> serve(ServedRequest& request);

private:
    // One request on its way through the engines.
    struct StreamProgress {
        StagesResult stages;
        EventSplitter events;
        ServedOutcome outcome;
        // Engines that were tried, and how many of them may have run it.
        std::set<BackendServerId> tried;
        int runs = 0;
        bool hasBegun = false;
        // The engine that it was sent to last has not read the prompt yet.
        bool isPromptPending = false;
        // The results of its stages have to be made again before another engine can run it.
        bool needsStageRerun = false;
    };

    // Failure domain of the engine that the request would go to now.
    FailureDomainId expectedEngineDomain(const ServedRequest& request) const;
    const KnownServer* chooseEngine(const ServedRequest& request, const StreamProgress& progress);
    boost::asio::awaitable<void> runStages(ServedRequest& request, StreamProgress& progress);
    boost::asio::awaitable<void> sendToEngines(ServedRequest& request, StreamProgress& progress);
    // Passes the answer on; true when it came to its end.
    boost::asio::awaitable<bool> forwardResponse(
        ServedRequest& request, StreamProgress& progress, HttpStream& stream, BackendServerId engine, TimePoint sentAt);
    boost::asio::awaitable<bool> forwardEvents(
        ServedRequest& request, StreamProgress& progress, HttpStream& stream, BackendServerId engine, TimePoint sentAt);
    void onPromptSent(ServedRequest& request, StreamProgress& progress, const BackendServerId& engine);
    void onPromptEnded(ServedRequest& request, StreamProgress& progress, const BackendServerId& engine);
    boost::asio::awaitable<void> refuseOrAbort(ServedRequest& request, StreamProgress& progress);

    ServingView& m_view;
    BackendCaller& m_backendCaller;
    RetryWindow& m_retries;
    ColdLimiter& m_coldLimiter;
    StageRunner& m_stages;
    EnginePlacement m_placement;
    FirstEventEstimator m_firstEventEstimator;
};

}
