#include "libserving/retrywindow.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Part of the slack that hosts use up; the rest covers hosts that another one doesn't know yet.
    constexpr double usedSlack = 0.8;

}

RetryWindow::RetryWindow(RetryWindowOptions options)
    : m_options(options)
{
}

void RetryWindow::setHosts(std::size_t hosts)
{
    m_hosts = static_cast<double>(std::max<std::size_t>(hosts, 1));
}

void RetryWindow::recordRequest(const PoolId& pool, TimePoint now)
{
    Sent& sent = m_sent[pool];
    expire(sent.requests, now);
    sent.requests.push_back(now);
}

bool RetryWindow::tryAcquireRetry(const PoolId& pool, TimePoint now)
{
    Sent& sent = m_sent[pool];
    expire(sent.requests, now);
    expire(sent.repeats, now);
    const double allowed = m_options.ratio * static_cast<double>(sent.requests.size())
        + usedSlack * m_options.slack / m_hosts;
    if (static_cast<double>(sent.repeats.size()) + 1 > allowed)
        return false;
    sent.repeats.push_back(now);
    return true;
}

void RetryWindow::expire(std::deque<TimePoint>& times, TimePoint now) const
{
    while (!times.empty() && times.front() + m_options.window <= now)
        times.pop_front();
}

}
