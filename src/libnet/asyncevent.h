#pragma once

#include "libapricot/clock.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Apricot {

using RuntimeTimer = boost::asio::basic_waitable_timer<RuntimeClock>;

// Wakes coroutines of one io_context. A notification without a waiting coroutine is lost: check the
// condition before each wait.
class AsyncEvent {
public:
    template <typename Executor>
    explicit AsyncEvent(const Executor& executor)
        : m_timer(executor)
    {
        m_timer.expires_at(TimePoint::max());
    }

    // Waits for the next notification.
    boost::asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        co_await m_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    void notifyAll() { m_timer.cancel(); }

private:
    RuntimeTimer m_timer;
};

// Suspends the calling coroutine for a duration of RuntimeClock.
template <typename Executor>
boost::asio::awaitable<void> sleepFor(Executor executor, Duration duration)
{
    RuntimeTimer timer(executor, duration);
    boost::system::error_code ignored;
    co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}
