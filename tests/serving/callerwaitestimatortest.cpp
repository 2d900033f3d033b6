#include "libserving/callerwaitestimator.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(CallerWaitEstimator)
{
    CallerWaitEstimator estimator;

    Milliseconds recordAttempt(int milliseconds, const char* route = "r")
    {
        return estimator.recordAttempt(route, Milliseconds(milliseconds));
    }
};

TEST(CallerWaitEstimator, countsTheWaitBeforeARefusedRequestIsRetried)
{
    for (int request = 0; request < 20; ++request)
        LONGS_EQUAL(0, recordAttempt(6000).count());
    LONGS_EQUAL(1127, recordAttempt(4873).count());
    LONGS_EQUAL(0, recordAttempt(6000).count());
}

// In a burst there are more retries than first attempts, and their timeouts differ from each other.
TEST(CallerWaitEstimator, estimatesCorrectlyWhileMostAttemptsAreRetries)
{
    for (int request = 0; request < 100; ++request) {
        recordAttempt(6000);
        recordAttempt(4000 + 7 * request);
        recordAttempt(2000 + 11 * request);
    }
    LONGS_EQUAL(500, recordAttempt(5500).count());
}

TEST(CallerWaitEstimator, returnsZeroWhenCallersShareNoTimeout)
{
    for (int request = 0; request < 50; ++request)
        LONGS_EQUAL(0, recordAttempt(3000 + 13 * request).count());
}

TEST(CallerWaitEstimator, followsAChangeOfTheUsualTimeout)
{
    for (int request = 0; request < 100; ++request)
        recordAttempt(6000);
    for (int request = 0; request < 40; ++request)
        recordAttempt(3000);
    LONGS_EQUAL(0, recordAttempt(3000).count());
}

TEST(CallerWaitEstimator, routesHaveSeparateHistories)
{
    for (int request = 0; request < 20; ++request)
        recordAttempt(8000, "long");
    LONGS_EQUAL(0, recordAttempt(6000, "short").count());
    LONGS_EQUAL(0, recordAttempt(6000, "short").count());
}
