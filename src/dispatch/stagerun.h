#pragma once

#include "libapricot/replicaledger.h"
#include "libapricot/stagecall.h"
#include "libnet/peerstream.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>

#include <memory>
#include <optional>

namespace Apricot {

// Why a run ended before its backend server had responded.
enum class RunInterruption {
    BudgetExpired,
    // The coordinator's stream broke or was cancelled.
    PeerDisconnected,
};

// One attempt at its home: waits for a slot, relays what the backend server sends, and is interrupted
// if its budget expires or its coordinator disconnects.
class StageRun {
public:
    StageRun(const boost::asio::any_io_executor& executor, std::shared_ptr<PeerStream> peer,
        StageCall call, CallNumber number);

    const StageCall& call() const { return m_call; }
    CallNumber number() const { return m_number; }
    TimePoint deadline() const { return m_deadline; }

    // Called with the ledger's decision: a slot or a rejection.
    void onDecision(const LedgerAction& action);
    // Waits for that decision or an interruption. Returns the decision, or nullopt if interrupted.
    boost::asio::awaitable<std::optional<LedgerAction>> awaitSlot();
    // Returns only when the run is interrupted.
    boost::asio::awaitable<RunInterruption> awaitInterruption();
    // Interrupts the run if the coordinator's stream breaks.
    static boost::asio::awaitable<void> watchPeer(std::shared_ptr<StageRun> run);
    std::optional<RunInterruption> interruption() const { return m_interruption; }

    // Records that bytes of the attempt may reach the backend server from now on.
    void markSent() { m_isSent = true; }
    bool isSent() const { return m_isSent; }

    // Sends a message to the coordinator. A broken stream interrupts the run and throws.
    boost::asio::awaitable<void> relay(Message message);
    // Sends the outcome and finishes the stream. Errors of a broken stream are ignored.
    boost::asio::awaitable<void> end(StageOutcome outcome);

private:
    using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

    void interrupt(RunInterruption interruption);

    std::shared_ptr<PeerStream> m_peer;
    StageCall m_call;
    CallNumber m_number;
    TimePoint m_deadline;
    Timer m_timer;
    std::optional<LedgerAction> m_decision;
    std::optional<RunInterruption> m_interruption;
    bool m_isSent = false;
    bool m_isEnded = false;
};

}
