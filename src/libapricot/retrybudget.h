#pragma once

#include "libapricot/catalogue.h"

namespace Apricot {

struct RetryBudgetOptions {
    // Retries and hedges allowed per first attempt, over all requests of the process.
    double ratio = 0.1;
    // Maximum number of extra attempts that can accumulate.
    double maxAvailable = 10;
    // Hedges are sent only while the utilisation of the pool is below this value.
    double maxHedgeUtilisation = 0.6;
};

// Limits retries and hedges to a share of the first attempts, so that they can't amplify an overload.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    // Records a first attempt of a stage, which adds `ratio` of an extra attempt to the budget.
    void recordFirstAttempt();
    // Acquires one extra attempt for a failed stage. Returns false if a non-idempotent stage has been
    // sent or the budget is exhausted.
    bool tryAcquireRetry(const StageSpec& stage, bool sent);
    // Acquires one extra attempt for an idempotent stage that has run longer than its usual high
    // quantile, if the pool has free capacity.
    bool tryAcquireHedge(
        const StageSpec& stage, Duration elapsed, Duration highQuantile, double utilisation);

    double available() const { return m_available; }

private:
    bool tryAcquire();

    RetryBudgetOptions m_options;
    double m_available;
};

}
