#include "libapricot/retrybudget.h"

#include <algorithm>

namespace Apricot {

RetryBudget::RetryBudget(RetryBudgetOptions options)
    : m_options(options)
    , m_saved(options.mostSaved)
{
}

void RetryBudget::recordFirstAttempt()
{
    m_saved = std::min(m_options.mostSaved, m_saved + m_options.ratio);
}

bool RetryBudget::tryAcquireRetry(const StageSpec& stage, bool sent)
{
    if (sent && !stage.idempotent)
        return false;
    return take();
}

bool RetryBudget::tryAcquireHedge(
    const StageSpec& stage, Duration elapsed, Duration usualHigh, double utilisation)
{
    if (!stage.idempotent || usualHigh <= Duration::zero() || elapsed <= usualHigh)
        return false;
    if (utilisation >= m_options.hedgeUtilisation)
        return false;
    return take();
}

bool RetryBudget::take()
{
    if (m_saved < 1)
        return false;
    m_saved -= 1;
    return true;
}

}
