#include "libserving/retrywindow.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Share of the slack that the known hosts use. The rest is a reserve for hosts that have just joined
    // and that other hosts do not know yet.
    constexpr double usedSlackShare = 0.8;

}

RetryWindow::RetryWindow(RetryWindowOptions options, TimePoint startedAt)
    : m_options(options)
    , m_startedAt(startedAt)
{
}

void RetryWindow::setHosts(std::size_t hostCount)
{
    m_hostCount = hostCount;
}

double RetryWindow::slackShare(TimePoint now) const
{
    if (m_hostCount == 0 || now < m_startedAt + m_options.window)
        return 0;
    return usedSlackShare * m_options.slack / static_cast<double>(m_hostCount);
}

void RetryWindow::recordRequest(const PoolId& pool, TimePoint now)
{
    SendTimes& sendTimes = m_sendTimes[pool];
    expire(sendTimes.requests, now);
    sendTimes.requests.push_back(now);
}

bool RetryWindow::tryAcquireRetry(const PoolId& pool, TimePoint now)
{
    const RetryUsage used = usage(pool, now);
    if (static_cast<double>(used.retries) + 1 > used.allowed)
        return false;
    m_sendTimes[pool].retries.push_back(now);
    return true;
}

RetryUsage RetryWindow::usage(const PoolId& pool, TimePoint now)
{
    SendTimes& sendTimes = m_sendTimes[pool];
    expire(sendTimes.requests, now);
    expire(sendTimes.retries, now);
    const double allowed = m_options.ratio * static_cast<double>(sendTimes.requests.size())
        + slackShare(now);
    return { .retries = sendTimes.retries.size(), .allowed = allowed };
}

std::vector<PoolId> RetryWindow::pools() const
{
    std::vector<PoolId> pools;
    for (const auto& [pool, sendTimes] : m_sendTimes)
        pools.push_back(pool);
    return pools;
}

void RetryWindow::expire(std::deque<TimePoint>& times, TimePoint now) const
{
    while (!times.empty() && times.front() + m_options.window <= now)
        times.pop_front();
}

}
