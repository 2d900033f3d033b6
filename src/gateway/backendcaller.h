#pragma once

#include "gateway/requestscope.h"
#include "gateway/rollout/rolloutobserver.h"
#include "gateway/servercalls.h"
#include "gateway/serverendprobe.h"
#include "gateway/serverstatements.h"
#include "libserving/coldlimiter.h"
#include "libserving/runobserver.h"
#include "libserving/servertracker.h"
#include "libserving/servingview.h"

namespace Apricot {

// Outcome of sending a request to one backend server, up to the header of the response.
enum class SendOutcome {
    // A response that may be forwarded has started: a signed one, or one with an error status that promises nothing
    // about the run.
    Responded,
    // Nothing was sent.
    NotSent,
    // The server did not run the request and never will.
    NotRun,
    // The request may have run, although the status of the response promises its caller that it has not.
    UnprovenRefusal,
    // The request may have run: the connection broke, or the response was not the server's own.
    Broken,
    // The request may have run: no response arrived within the timeout.
    TimedOut,
    // The scope of the request has ended.
    Cancelled,
};

// Whether the server failed a request that it may have run.
bool isServerFailure(SendOutcome outcome);

struct SendResult {
    // The request's place at the server; see ServerStatements. Destroyed after the response.
    std::shared_ptr<void> place;
    // Counts as a run of its version; see RolloutObserver. Destroyed after the response.
    std::shared_ptr<void> run;
    SendOutcome outcome = SendOutcome::NotSent;
    // The response, if it has started.
    std::unique_ptr<HttpStream> stream;
    // Status of a response that has started, or of a refusal; otherwise zero.
    int status = 0;
};

// A response whose body broke off before its end.
struct IncompleteResponse {
    RunEnd end = RunEnd::Broken;
    // For logs.
    std::string reason;
    BodyFraming framing = BodyFraming::ConnectionEnd;
    // Bytes that followed the last complete event of a stream.
    std::size_t unfinishedBytes = 0;
    // Time between the first and the last event.
    Duration respondedFor { 0 };
};

// A response that reached the end that its framing declares.
struct CompleteResponse {
    int status = 0;
    BodyFraming framing = BodyFraming::ConnectionEnd;
    // Whether the server ran the request; an empty response to a resumed stream does not show it.
    bool hasRun = true;
};

// Reason of an incomplete response that ended with its connection as its server ended.
constexpr const char* serverEndedReason = "the server ended with its response";

// How a run ended whose call failed with an error.
RunEnd runEndOf(const boost::system::error_code& error);

// Whether a whole response shows that it belongs to its call, and would be recognized if it came again. Its connection
// carries later calls only then.
using ResponseCheck = std::function<bool(const HttpResponse&)>;

// Sends requests and pieces to backend servers over persistent connections. Servers that may receive no
// new work, such as draining ones, are sent none.
class BackendCaller {
public:
    BackendCaller(ServingView& view, ServerTracker& tracker, LimitPermits& limits,
        ServerStatements& statements, ColdLimiter& coldLimiter, ServerCalls& calls,
        ServerEndProbe& serverEnds, RolloutObserver& rollouts,
        MemoryAccount& memory);

    // Whether a server is warm, or cold and may get one more request of this host now. send() acquires the permit.
    bool mayReceiveWhileCold(const KnownServer& server, TimePoint now);
    // Sends a caller's request. The timeout bounds the wait for the response header; the server is sent
    // the time left until the caller's deadline.
    boost::asio::awaitable<SendResult> send(const ServedRequest& request, ServerEntry server,
        std::vector<std::string> inputs, std::string lastEventId, Milliseconds timeout);
    // Makes a call of the gateway itself, and sets isSent once the server may have received it. Throws like
    // HttpClient, and if the server may receive no work.
    boost::asio::awaitable<HttpResponse> call(
        ServerEntry server, HttpCall call, bool& isSent, const ResponseCheck& isOwn);
    // Sends a call for a peer that has lost its link to the server. Returns nothing if the server may not receive the
    // call, and throws CallNotSentError if this host does not reach the server either.
    boost::asio::awaitable<std::unique_ptr<HttpStream>> openForPeer(
        const RelayCallMessage& message, std::shared_ptr<HttpCancel> cancel);
    // Makes a call that assigns no new work, such as the release of results, to any server.
    boost::asio::awaitable<HttpResponse> callWithoutCheck(
        Endpoint endpoint, HttpCall call, const ResponseCheck& isOwn);

    // Closes the idle connections to a server, on which responses to earlier calls may still arrive.
    void closeIdleConnections(const Endpoint& endpoint) { m_calls.closeIdleConnections(endpoint); }
    BackendLinks& links() { return m_calls.links(); }

    // Reads the body of a response and reports how it ended. Returns nothing if it is incomplete.
    boost::asio::awaitable<std::optional<ResponseBody>> readResponse(
        const ServedRequest& request, ServerEntry server, HttpStream& stream, TimePoint sentAt);
    // Whether the process of a server has ended whose response ended with its connection. The system closes
    // the connections of such a process in order, so the end of the response does not show it.
    boost::asio::awaitable<bool> hasEnded(const ServerEntry& server);

    // Reports that the body of a response was read to its end, or that the response is discarded. Only a success
    // whose framing proves its end shows that the request finished.
    void reportResponse(const ServedRequest& request, const ServerEntry& server, TimePoint sentAt,
        const CompleteResponse& response);
    // Reports that the body of a response broke off before its end.
    void reportIncompleteResponse(const ServedRequest& request, const ServerEntry& server,
        TimePoint sentAt, const IncompleteResponse& response);

    // The observer must outlive this object.
    void setRunObserver(RunObserver& observer) { m_runObserver = &observer; }
    void reportRun(const EndedRun& run);
    // See RunObserver::onFinished().
    void reportFinished(const std::vector<PoisonSubject>& subjects, int stage);

    ServerTracker& tracker() { return m_tracker; }
    // Permits for servers with a limit; acquire one before each call, except those without a check.
    LimitPermits& limits() { return m_limits; }
    ServerStatements& statements() { return m_statements; }
    RolloutObserver& rollouts() { return m_rollouts; }
    // Removes the state of servers that have left the view, and closes their connections.
    void removeUnknownServers();

private:
    boost::asio::awaitable<HttpResponse> readOwnResponse(
        HttpStream& stream, Milliseconds timeout, const ResponseCheck& isOwn);
    bool mayReceive(const ServerEntry& server, CallCheck check);
    // Acquires a permit to send a request to a server that is cold.
    bool acquireColdPermit(const ServerEntry& server, TimePoint now);
    double coldRateOf(const PoolId& id) const;
    // Records what a response says about the server that is known at an address.
    void recordStatement(const Endpoint& endpoint, TimePoint sentAt, const HttpStream& stream);
    void reportRun(const ServedRequest& request, const ServerEntry& server, RunEnd end, TimePoint sentAt,
        Duration respondedFor = Duration(0));
    SendResult classify(std::unique_ptr<HttpStream> stream) const;

    ServingView& m_view;
    ServerTracker& m_tracker;
    LimitPermits& m_limits;
    ServerStatements& m_statements;
    ColdLimiter& m_coldLimiter;
    ServerCalls& m_calls;
    ServerEndProbe& m_serverEnds;
    RolloutObserver& m_rollouts;
    MemoryAccount& m_memory;
    RunObserver* m_runObserver = nullptr;
};

}
