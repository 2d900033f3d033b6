#include "libserving/callerwaitestimator.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(CallerWaitEstimator)
{
    CallerWaitEstimator estimator;

    Milliseconds waited(int milliseconds, const char* route = "r")
    {
        return estimator.recordAttempt(route, Milliseconds(milliseconds));
    }
};

TEST(CallerWaitEstimator, anAttemptAfterARefusalHasWaitedBefore)
{
    for (int request = 0; request < 20; ++request)
        LONGS_EQUAL(0, waited(6000).count());
    LONGS_EQUAL(1127, waited(4873).count());
    LONGS_EQUAL(0, waited(6000).count());
}

// In a burst more attempts come back than come first; they name different times.
TEST(CallerWaitEstimator, holdsWhileMostAttemptsComeBack)
{
    for (int request = 0; request < 100; ++request) {
        waited(6000);
        waited(4000 + 7 * request);
        waited(2000 + 11 * request);
    }
    LONGS_EQUAL(500, waited(5500).count());
}

TEST(CallerWaitEstimator, saysNothingWhereCallersNameTimesOfTheirOwn)
{
    for (int request = 0; request < 50; ++request)
        LONGS_EQUAL(0, waited(3000 + 13 * request).count());
}

TEST(CallerWaitEstimator, followsAChangeOfTheUsualTime)
{
    for (int request = 0; request < 100; ++request)
        waited(6000);
    for (int request = 0; request < 40; ++request)
        waited(3000);
    LONGS_EQUAL(0, waited(3000).count());
}

TEST(CallerWaitEstimator, routesAreKeptApart)
{
    for (int request = 0; request < 20; ++request)
        waited(8000, "long");
    LONGS_EQUAL(0, waited(6000, "short").count());
    LONGS_EQUAL(0, waited(6000, "short").count());
}
