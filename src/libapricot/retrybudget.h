#pragma once

#include "libapricot/catalogue.h"

namespace Apricot {

struct RetryBudgetOptions {
    // Extra attempts allowed for each first attempt, over all requests of the process.
    double ratio = 0.1;
    // Most extra attempts that an idle time can save up.
    double maxAvailable = 10;
    // Hedges only below this share of the pool's caps in use.
    double maxHedgeUtilisation = 0.6;
};

// Bounds retries and hedges to a share of first attempts, so that they can't amplify an overload.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {});

    // Counts a first attempt of a stage, which earns part of an extra one.
    void recordFirstAttempt();
    // Takes one extra attempt for a stage that failed. False for stages that aren't idempotent once
    // they were sent, and when the budget is spent.
    bool tryAcquireRetry(const StageSpec& stage, bool sent);
    // Takes one extra attempt for an idempotent stage that has run longer than its usual high
    // quantile, when the pool has room for it.
    bool tryAcquireHedge(
        const StageSpec& stage, Duration elapsed, Duration highQuantile, double utilisation);

    double available() const { return m_available; }

private:
    bool tryAcquire();

    RetryBudgetOptions m_options;
    double m_available;
};

}
