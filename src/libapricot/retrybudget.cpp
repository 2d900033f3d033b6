#include "libapricot/retrybudget.h"

#include <algorithm>

namespace Apricot {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_available(options.maxAvailable)
{
}

void RetryBudget::recordFirstAttempt()
{
    m_available = std::min(m_options.maxAvailable, m_available + m_options.ratio);
}

bool RetryBudget::tryAcquireRetry(const StageSpec& stage, bool sent)
{
    if (sent && !stage.idempotent)
        return false;
    return tryAcquire();
}

bool RetryBudget::tryAcquireHedge(
    const StageSpec& stage, Duration elapsed, Duration highQuantile, double utilisation)
{
    if (!stage.idempotent || highQuantile <= Duration::zero() || elapsed <= highQuantile)
        return false;
    if (utilisation >= m_options.maxHedgeUtilisation)
        return false;
    return tryAcquire();
}

bool RetryBudget::tryAcquire()
{
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

}
