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
    StreamForwarder(ServingView& view, BackendCaller& caller, RetryWindow& retries,
        ColdLimiter& coldLimiter, StageRunner& stages);

    boost::asio::awaitable<ServedEnd> serve(ServedRequest& request);

private:
    // One request on its way through the engines.
    struct Relay {
        StagesEnd stages;
        EventSplitter events;
        ServedEnd end;
        // Engines that were tried, and how many of them may have run it.
        std::set<BackendServerId> tried;
        int runs = 0;
        bool hasBegun = false;
        // The engine that it was sent to last has not read the prompt yet.
        bool isPromptPending = false;
        // The results of its stages have to be made again before another engine can run it.
        bool needsInputs = false;
    };

    // Failure domain of the engine that the request would go to now.
    FailureDomainId likelyDomain(const ServedRequest& request) const;
    const KnownServer* choose(const ServedRequest& request, const Relay& relay);
    boost::asio::awaitable<void> runStages(ServedRequest& request, Relay& relay);
    boost::asio::awaitable<void> sendToEngines(ServedRequest& request, Relay& relay);
    // Passes the answer on; true when it came to its end.
    boost::asio::awaitable<bool> pass(
        ServedRequest& request, Relay& relay, HttpStream& stream, BackendServerId engine, TimePoint sentAt);
    boost::asio::awaitable<bool> passEvents(
        ServedRequest& request, Relay& relay, HttpStream& stream, BackendServerId engine, TimePoint sentAt);
    void promptSent(ServedRequest& request, Relay& relay, const BackendServerId& engine);
    void promptEnded(ServedRequest& request, Relay& relay, const BackendServerId& engine);
    boost::asio::awaitable<void> giveUp(ServedRequest& request, Relay& relay);

    ServingView& m_view;
    BackendCaller& m_caller;
    RetryWindow& m_retries;
    ColdLimiter& m_coldLimiter;
    StageRunner& m_stages;
    EnginePlacement m_placement;
    FirstEventEstimator m_firstEventEstimator;
};

}
