#include "libserving/retrywindow.h"

#include <algorithm>

namespace Apricot {

namespace {

    // Shares of the slack: for all retries, and for those of requests that the window before does not cover. The
    // rest is a reserve for hosts that have just joined and that other hosts do not know yet.
    constexpr double usedSlackShare = 0.8;
    constexpr double growthSlackShare = 0.15;

    void expire(std::deque<TimePoint>& times, TimePoint end)
    {
        while (!times.empty() && times.front() <= end)
            times.pop_front();
    }

}

RetryPermit::RetryPermit(RetryWindow& retries, PoolId pool)
    : m_retries(&retries)
    , m_pool(std::move(pool))
{
}

RetryPermit::RetryPermit(RetryPermit&& other) noexcept
    : m_retries(std::exchange(other.m_retries, nullptr))
    , m_pool(std::move(other.m_pool))
{
}

RetryPermit::~RetryPermit()
{
    release(RuntimeClock::now());
}

void RetryPermit::release(TimePoint now)
{
    if (RetryWindow* retries = std::exchange(m_retries, nullptr))
        retries->releasePermit(m_pool, now);
}

RetryWindow::RetryWindow(RetryWindowOptions options, TimePoint startedAt)
    : m_startedAt(startedAt)
{
    setOptions(options);
}

void RetryWindow::setOptions(const RetryWindowOptions& options)
{
    m_options = options;
    m_hosts.setOptions({ .leavingTime = options.leavingTime, .countedTime = options.window });
}

void RetryWindow::recordRequest(const PoolId& pool, TimePoint now)
{
    SendTimes& sendTimes = m_sendTimes[pool];
    expire(sendTimes.requests, now - 2 * m_options.window);
    sendTimes.requests.push_back(now);
}

std::optional<RetryPermit> RetryWindow::tryAcquireRetry(const PoolId& pool, TimePoint now)
{
    const RetryUsage used = usage(pool, now);
    if (static_cast<double>(used.retries) + 1 > used.allowed)
        return std::nullopt;
    ++m_sendTimes[pool].permits;
    return RetryPermit(*this, pool);
}

void RetryWindow::releasePermit(const PoolId& pool, TimePoint now)
{
    SendTimes& sendTimes = m_sendTimes[pool];
    --sendTimes.permits;
    sendTimes.retries.push_back(now);
}

RetryUsage RetryWindow::usage(const PoolId& pool, TimePoint now)
{
    SendTimes& sendTimes = m_sendTimes[pool];
    expire(sendTimes.requests, now - 2 * m_options.window);
    expire(sendTimes.retries, now - m_options.window);
    return { .retries = sendTimes.permits + sendTimes.retries.size(),
        .allowed = allowedRetries(sendTimes, now) };
}

double RetryWindow::allowedRetries(const SendTimes& sendTimes, TimePoint now) const
{
    const auto& requests = sendTimes.requests;
    const auto windowBegin
        = std::upper_bound(requests.begin(), requests.end(), now - m_options.window);
    const double earlier = m_options.ratio * static_cast<double>(windowBegin - requests.begin());
    const double current = m_options.ratio * static_cast<double>(requests.end() - windowBegin);
    const std::size_t hosts = m_hosts.count(now);
    const double slackShare = hosts == 0 ? 0 : m_options.slack / static_cast<double>(hosts);
    const double earned = std::min(current, earlier + growthSlackShare * slackShare);
    const bool isFirstWindow = now < m_startedAt + m_options.window;
    return earned + (isFirstWindow ? 0 : usedSlackShare * slackShare);
}

std::vector<PoolId> RetryWindow::pools() const
{
    std::vector<PoolId> pools;
    for (const auto& [pool, sendTimes] : m_sendTimes)
        pools.push_back(pool);
    return pools;
}

}
