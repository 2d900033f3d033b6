#pragma once

#include "dispatch/claimgateway.h"
#include "dispatch/loadcontrol.h"
#include "dispatch/recordservice.h"
#include "libapricot/attemptrouter.h"
#include "libapricot/recordtable.h"
#include "libapricot/unresponsivehomes.h"
#include "libnet/asyncevent.h"

#include <map>
#include <set>

namespace Apricot {

// Services shared by the runners of one process.
struct RunnerServices {
    boost::asio::io_context& context;
    const ControlViewSource& views;
    PeerLink& peers;
    AttemptRouter& router;
    RecordTable& records;
    RecordService& recordService;
    ClaimGateway& claims;
    RetryBudget& retries;
    PoisonTable& poison;
    UnresponsiveHomes& unresponsiveHomes;
    // If null, every request is admitted and no costs are recorded.
    LoadControl* load = nullptr;
};

// Result of serving one caller.
enum class CallerOutcome {
    Responded,
    Disconnected,
    // Another host runs the request; the submission must be relayed to it.
    RunsElsewhere,
};

// Performs the actions of a request's record and reports their results to it. Kept alive by the
// callers that it serves and the actions in progress.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
public:
    RequestRunner(std::shared_ptr<RequestRecord> record, RunnerServices& services);

    // Attaches a caller and streams the response to it. Advances submit.resumeFrom to the first token
    // that the caller still needs.
    boost::asio::awaitable<CallerOutcome> serve(
        std::shared_ptr<PeerStream> stream, SubmitMessage& submit, TimePoint deadline);
    const std::shared_ptr<RequestRecord>& record() const { return m_record; }

private:
    struct OpenAttempt {
        std::shared_ptr<PeerStream> stream;
        bool cancelled = false;
    };

    boost::asio::awaitable<CallerOutcome> respond(
        std::shared_ptr<PeerStream> stream, CallerId caller, IncomingRequest incoming);
    boost::asio::awaitable<void> waitForChange(TimePoint deadline);

    RequestContext context() const;
    void perform(RequestActions actions);
    void performAction(const StoreCopyAction& action);
    void performAction(const ClaimAction& action);
    void performAction(const StartAttemptAction& action);
    void performAction(const CancelAttemptAction& action);
    void performAction(const SendPoisonNoticeAction& action);
    void notifyAll();
    void scheduleTick();

    boost::asio::awaitable<void> storeCopy(StoreCopyAction action);
    boost::asio::awaitable<void> claim(ClaimAction action);
    boost::asio::awaitable<void> runAttempt(StartAttemptAction action, BackendServerId server);
    boost::asio::awaitable<StageOutcome> callHome(
        const StartAttemptAction& action, const BackendServerId& server);
    boost::asio::awaitable<StageOutcome> readOutcome(
        std::shared_ptr<PeerStream> stream, AttemptId attempt, HostId home);
    // Servers that the request has already tried, and those whose home is unresponsive.
    std::vector<BackendServerId> excludedServers(
        const ControlView& view, const StartAttemptAction& action, TimePoint now) const;

    std::shared_ptr<RequestRecord> m_record;
    RunnerServices& m_services;
    RuntimeTimer m_tickTimer;
    std::set<RuntimeTimer*> m_waitingTimers;
    std::map<AttemptId, OpenAttempt> m_attempts;
    // Responses of the followers about the key from when this process started to run it.
    std::vector<CopyResponse> m_openingResponses;
};

}
