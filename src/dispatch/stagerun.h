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

// Why a run ended before its backend server answered.
enum class RunInterruption {
    BudgetExpired,
    // The coordinator's stream broke, or it cancelled.
    PeerDisconnected,
};

// One attempt at its home: waits for a place, is interrupted when its budget passes or its
// coordinator goes away, and relays what the backend server sends.
class StageRun {
public:
    StageRun(const boost::asio::any_io_executor& executor, std::shared_ptr<PeerStream> peer,
        StageCall call, CallNumber number);

    const StageCall& call() const { return m_call; }
    CallNumber number() const { return m_number; }
    TimePoint deadline() const { return m_deadline; }

    // The ledger's decision about a place.
    void onDecision(const LedgerAction& action);
    // Waits for that decision or for an interruption. Returns the decision, if there is one.
    boost::asio::awaitable<std::optional<LedgerAction>> awaitSlot();
    // Returns only when the run is interrupted.
    boost::asio::awaitable<RunInterruption> awaitInterruption();
    // Interrupts the run when the coordinator's stream breaks.
    static boost::asio::awaitable<void> watchPeer(std::shared_ptr<StageRun> run);
    std::optional<RunInterruption> interruption() const { return m_interruption; }

    // Notes that bytes of the attempt may reach the backend server from now on.
    void markSent() { m_isSent = true; }
    bool isSent() const { return m_isSent; }

    // Sends a message to the coordinator. A broken stream interrupts the run and throws.
    boost::asio::awaitable<void> relay(Message message);
    // Sends the last message. Does nothing when the coordinator has gone.
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
