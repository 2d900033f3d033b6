#include "libapricot/bytebudget.h"

#include <CppUTest/TestHarness.h>

#include <utility>

using namespace Apricot;

TEST_GROUP(ByteBudget) {};

TEST(ByteBudget, leasesShareTheBudgetAndReturnTheirBytes)
{
    ByteBudget budget(10);
    {
        ByteLease first(budget);
        ByteLease second(budget);
        CHECK_TRUE(first.tryAcquire(6));
        CHECK_FALSE(second.tryAcquire(5));
        CHECK_TRUE(second.tryAcquire(4));
        LONGS_EQUAL(0, budget.free());
        const ByteLease moved(std::move(first));
        LONGS_EQUAL(6, moved.bytes());
        second = ByteLease(budget);
        LONGS_EQUAL(4, budget.free());
    }
    LONGS_EQUAL(10, budget.free());
}
