#pragma once

#include "libapricot/backendevents.h"
#include "libapricot/replicaledger.h"
#include "libnet/httpclient.h"
#include "stagerun.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <string>

namespace Apricot {

struct ReplicaHomeOptions {
    BackendServer server;
    std::size_t queueLimit = 64;
    TakeoverOptions takeover;
    Milliseconds healthTimeout { 500 };
};

// Result of an order to a backend server.
enum class OrderResult {
    Accepted,
    // The server has seen a newer fencing number and responded with status 409.
    RefusedByServer,
    // This process currently may not send orders to the server; nothing was sent.
    NotPermitted,
    Failed,
};

// Runs all calls of one backend server that this process is or was home of, as decided by the
// ReplicaLedger. Runs on one thread.
class ReplicaHome {
public:
    ReplicaHome(boost::asio::io_context& context, const ControlViewSource& views,
        ReplicaHomeOptions options);

    // Runs one attempt and streams its events to the coordinator.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> peer, StageCall call);
    // Applies the newest control view to the ledger and advances it to the current time.
    void refresh();
    // Polls the health of the server once and passes the result to the ledger.
    boost::asio::awaitable<void> pollHealth();
    // Sends an order to the server with the fencing number of this home.
    boost::asio::awaitable<OrderResult> sendOrder(std::string text);
    // Permanently stops starting calls under assignments older than `since`.
    HomeReleasedMessage release(ObjectVersion since);

    void onPredecessorGone(const Predecessor& predecessor);
    void onPredecessorReleased(const Predecessor& predecessor, const HomeReleasedMessage& response);

    const BackendServer& server() const { return m_options.server; }
    ReplicaLedger& ledger() { return m_ledger; }
    const ReplicaLedger& ledger() const { return m_ledger; }
    boost::json::value dump() const;

private:
    enum class ProbeResult {
        SameProcess,
        Gone,
        Unknown,
    };

    boost::asio::awaitable<StageOutcome> runCall(StageRun& run);
    boost::asio::awaitable<StageOutcome> runOnServer(StageRun& run);
    boost::asio::awaitable<void> streamFromServer(StageRun& run, StageOutcome& outcome);
    boost::asio::awaitable<void> relayEvents(
        StageRun& run, std::unique_ptr<HttpStream> stream, StageOutcome& outcome);
    bool confirmStart(StageRun& run);
    boost::asio::awaitable<ProbeResult> probe(std::string incarnationBefore);
    void onErrorStatus(const StageRun& run, int status, StageOutcome& outcome);
    bool canSendOrder(const ControlView& view) const;
    StageOutcome endInterruptedRun(const StageRun& run);
    StageOutcome makeRejection(const StageRun& run, Milliseconds retryAfter) const;
    void apply(const LedgerActions& actions);
    HttpCall makeRunRequest(const StageCall& call) const;

    const ControlViewSource& m_views;
    boost::asio::any_io_executor m_executor;
    ReplicaHomeOptions m_options;
    HttpClient m_client;
    ReplicaLedger m_ledger;
    std::map<CallNumber, std::shared_ptr<StageRun>> m_runs;
    CallNumber m_nextNumber = 1;
    bool m_isReachable = true;
    // Whether the health of the server has been polled. Without an earlier poll, a crash can't be
    // distinguished from a broken connection.
    bool m_isHealthPolled = false;
    std::vector<AttemptId> m_crashedAttempts;
};

}
