#pragma once

#include "gateway/plainforwarder.h"
#include "gateway/stagerunner.h"
#include "gateway/streamoriginsync.h"
#include "libserving/engineplacement.h"
#include "libserving/eventsplitter.h"
#include "libserving/firsteventestimator.h"

namespace Apricot {

// Serves requests to which model engines respond with streams of events: runs their stages, chooses an
// engine, and forwards complete events as they arrive.
class StreamForwarder {
public:
    StreamForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries,
        StageRunner& stages, StreamOriginSync& origins, const PoisonTable& poison);

    boost::asio::awaitable<ServedOutcome> serve(ServedRequest& request);

private:
    // State of a request across its attempts.
    struct StreamProgress {
        StagesResult stages;
        EventSplitter events;
        ServedOutcome outcome;
        // Engines that were tried, and the number of attempts that may have run the request.
        std::set<BackendServerId> tried;
        int runs = 0;
        bool hasBegun = false;
        // The engine that the request was last sent to has not read the prompt yet.
        bool isPromptPending = false;
        // The stages have to run again before an engine can run the request.
        bool needsStageRerun = false;
        // Software version of the engine that began the stream; only engines of this version may go on with it.
        std::optional<SoftwareVersion> version;
        // Engine for which a permit was acquired before the stages ran.
        std::optional<BackendServerId> permit;
        // Why the request is refused before its stages run.
        std::optional<GatewayRefusal> refusal;
    };

    // Failure domain of the engine that the request would be sent to now.
    FailureDomainId expectedEngineDomain(
        const ServedRequest& request, const StreamProgress& progress) const;
    // Engines that may receive work and whose version fits the stream.
    std::vector<const KnownServer*> usableEngines(
        const ServedRequest& request, const StreamProgress& progress) const;
    bool hasUntriedEngine(const ServedRequest& request, const StreamProgress& progress) const;
    const KnownServer* chooseEngine(const ServedRequest& request, StreamProgress& progress);
    // If all engines have limits or rest, acquires a permit before the stages run in vain, or sets the refusal.
    boost::asio::awaitable<void> reservePermit(const ServedRequest& request, StreamProgress& progress);
    // Acquires a permit for an engine, unless it was reserved.
    boost::asio::awaitable<bool> acquirePermit(StreamProgress& progress, ServerEntry engine);
    // Finds the pool and the version that may go on with a stream that its caller resumes. Sets the refusal if
    // there are none.
    boost::asio::awaitable<void> findOrigin(ServedRequest& request, StreamProgress& progress);
    boost::asio::awaitable<void> runStages(ServedRequest& request, StreamProgress& progress);
    boost::asio::awaitable<void> sendToEngines(ServedRequest& request, StreamProgress& progress);
    // Forwards the response. Returns true if it was forwarded completely.
    boost::asio::awaitable<bool> forwardResponse(ServedRequest& request, StreamProgress& progress,
        HttpStream& stream, ServerEntry engine, TimePoint sentAt);
    boost::asio::awaitable<bool> forwardEvents(ServedRequest& request, StreamProgress& progress,
        HttpStream& stream, ServerEntry engine, TimePoint sentAt);
    // Whether a response that has reached its regular end is complete; reports it if not.
    boost::asio::awaitable<bool> isComplete(const ServedRequest& request, const StreamProgress& progress,
        const HttpStream& stream, ServerEntry engine, bool hasEvents, TimePoint sentAt);
    void onPromptSent(ServedRequest& request, StreamProgress& progress, const BackendServerId& engine);
    void onPromptEnded(ServedRequest& request, StreamProgress& progress, const BackendServerId& engine);
    // Retry-After for a stream none of whose engines may receive work; not set if none may do so later.
    std::optional<Milliseconds> versionRetryAfter(
        const ServedRequest& request, const SoftwareVersion& version) const;
    RefusalChoice chooseRefusal(const ServedRequest& request, const StreamProgress& progress);
    boost::asio::awaitable<void> refuseOrAbort(ServedRequest& request, StreamProgress& progress);

    ServingView& m_view;
    BackendCaller& m_backendCaller;
    RetryWindow& m_retries;
    StageRunner& m_stages;
    StreamOriginSync& m_origins;
    const PoisonTable& m_poison;
    EnginePlacement m_placement;
    FirstEventEstimator m_firstEventEstimator;
};

}
