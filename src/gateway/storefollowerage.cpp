#include "gateway/storefollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// What bounds the age of what a follower knows.

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Time by which a response may be late, or the next call may wait for further changes, before what is known is overdue.
    // A slow store takes some 200 ms to respond.
    constexpr Milliseconds overdueMargin { 350 };
    // Reads in progress at the same time, which end by themselves after their time limit.
    constexpr int maxOverdueReads = 3;

}

TimePoint StoreFollower::overdueAt() const
{
    const Milliseconds age = isRelayed() ? maxAgeFromPeers() : m_watchTimeout;
    return std::max(m_evidenceAt, m_startedAt) + age + overdueMargin;
}

bool StoreFollower::isOverdue() const
{
    return RuntimeClock::now() >= overdueAt();
}

Asio::awaitable<void> StoreFollower::boundAge()
{
    while (true) {
        const TimePoint since = overdueAt();
        if (!isOverdue()) {
            co_await waitForAge(since);
            continue;
        }
        if (m_handlers.onOverdue)
            m_handlers.onOverdue();
        while (isOverdue()) {
            // The store may just have refused to respond.
            const TimePoint now = RuntimeClock::now();
            const TimePoint readsAt = m_failedCallAt + probeInterval();
            if (now >= readsAt && m_overdueReads < maxOverdueReads)
                Asio::co_spawn(m_context, readOverdue(), Asio::detached);
            co_await waitForAge(now < readsAt ? readsAt : now + probeInterval());
        }
        if (m_handlers.onOverdueEnded)
            m_handlers.onOverdueEnded(RuntimeClock::now() - since);
    }
}

Asio::awaitable<void> StoreFollower::waitForAge(TimePoint until)
{
    m_ageTimer.expires_at(until);
    boost::system::error_code ignored;
    co_await m_ageTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> StoreFollower::readOverdue()
{
    if (m_handlers.onCall)
        m_handlers.onCall(StoreCallReason::Overdue);
    ++m_overdueReads;
    const TimePoint sentAt = RuntimeClock::now();
    try {
        PlatformReadOptions options { .usesNewConnection = true };
        co_await readChanges(std::move(options));
        onStoreResponse();
        abandonCallsBefore(sentAt);
        // A pause after a failure is over too.
        m_pauseTimer.cancel();
        m_ageTimer.cancel();
        if (m_handlers.onCallsLost)
            m_handlers.onCallsLost(sentAt);
    } catch (const std::exception&) {
        // The next read follows; the call beside which this one was made reports what is wrong.
    }
    --m_overdueReads;
}

void StoreFollower::abandonCallsBefore(TimePoint time)
{
    if (m_call && m_calledAt < time)
        m_call->cancel();
}

}
