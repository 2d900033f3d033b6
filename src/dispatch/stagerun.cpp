#include "stagerun.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace Apricot {

StageRun::StageRun(const boost::asio::any_io_executor& executor, std::shared_ptr<PeerStream> peer,
    StageCall call, CallNumber number)
    : m_peer(std::move(peer))
    , m_call(std::move(call))
    , m_number(number)
    , m_deadline(RuntimeClock::now() + m_call.budget)
    , m_timer(executor, m_deadline)
{
}

void StageRun::onDecision(const LedgerAction& action)
{
    m_decision = action;
    m_timer.cancel();
}

boost::asio::awaitable<std::optional<LedgerAction>> StageRun::awaitSlot()
{
    if (!m_decision && !m_interruption) {
        boost::system::error_code error;
        co_await m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error && !m_decision)
            interrupt(RunInterruption::BudgetExpired);
    }
    co_return m_decision;
}

boost::asio::awaitable<RunInterruption> StageRun::awaitInterruption()
{
    if (!m_interruption) {
        boost::system::error_code error;
        co_await m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, error));
        if (!error)
            interrupt(RunInterruption::BudgetExpired);
    }
    co_return m_interruption.value_or(RunInterruption::PeerDisconnected);
}

boost::asio::awaitable<void> StageRun::watchPeer(std::shared_ptr<StageRun> run)
{
    try {
        // A coordinator may finish its side of the stream early; only a broken stream interrupts the
        // run.
        while (co_await run->m_peer->read()) { }
    } catch (const std::exception&) {
        if (!run->m_isEnded)
            run->interrupt(RunInterruption::PeerDisconnected);
    }
}

boost::asio::awaitable<void> StageRun::relay(Message message)
{
    try {
        co_await m_peer->write(std::move(message));
    } catch (const std::exception&) {
        interrupt(RunInterruption::PeerDisconnected);
        throw;
    }
}

boost::asio::awaitable<void> StageRun::end(StageOutcome outcome)
{
    m_isEnded = true;
    try {
        Message ended = StageEndedMessage { std::move(outcome) };
        co_await m_peer->write(std::move(ended));
        m_peer->finish();
    } catch (const std::exception&) {
        m_peer->cancel();
    }
}

void StageRun::interrupt(RunInterruption interruption)
{
    if (m_interruption)
        return;
    m_interruption = interruption;
    m_timer.cancel();
}

}
