#include "libapricot/memoryaccount.h"

#include <CppUTest/TestHarness.h>

#include <rapidcheck.h>

#include <vector>

using namespace Apricot;

TEST_GROUP(MemoryAccount)
{
    TimePoint now {};
    MemoryAccount account { { .totalBytes = 1000, .smallShare = 0.2, .smallBytes = 100 } };
};

TEST(MemoryAccount, holdersShareTheTotalAndReturnTheirBytes)
{
    {
        const auto first = account.open(MemoryCause::Request, now);
        const auto second = account.open(MemoryCause::Response, now);
        CHECK_TRUE(first->tryResize(500, now));
        CHECK_FALSE(second->tryResize(400, now));
        CHECK_TRUE(second->tryResize(300, now));
        LONGS_EQUAL(800, account.heldBytes());
        CHECK_TRUE(first->tryResize(100, now));
        LONGS_EQUAL(400, account.heldBytes());
        LONGS_EQUAL(1, account.refusals(MemoryCause::Response));
    }
    LONGS_EQUAL(0, account.heldBytes());
}

// Guards against a crowd of large bodies that shuts out callers with small requests.
TEST(MemoryAccount, largeHoldersLeaveRoomForSmallOnes)
{
    const auto large = account.open(MemoryCause::Request, now);
    CHECK_TRUE(large->tryResize(800, now));
    CHECK_FALSE(large->tryResize(801, now));
    const auto small = account.open(MemoryCause::Request, now);
    CHECK_TRUE(small->tryResize(100, now));
}

// Guards against connections that stop just short of their end and stay open.
TEST(MemoryAccount, evictsTheStalledHolderWithMostBytes)
{
    const auto larger = account.open(MemoryCause::Request, now);
    const auto smaller = account.open(MemoryCause::Request, now);
    const auto moving = account.open(MemoryCause::Request, now);
    CHECK_TRUE(larger->tryResize(300, now));
    CHECK_TRUE(smaller->tryResize(200, now));
    CHECK_TRUE(moving->tryResize(300, now));
    bool isEvicted = false;
    larger->setEviction([&isEvicted] { isEvicted = true; });
    smaller->setEviction([] {});
    moving->setEviction([] {});
    now += Milliseconds(1500);
    moving->onProgress(now);
    const auto next = account.open(MemoryCause::Request, now);
    CHECK_TRUE(next->tryResize(250, now));
    CHECK_TRUE(isEvicted);
    CHECK_TRUE(larger->isEvicted());
    CHECK_FALSE(smaller->isEvicted());
    CHECK_FALSE(larger->tryResize(1, now));
    LONGS_EQUAL(1, account.evictions(MemoryCause::Request));
}

TEST(MemoryAccount, evictsNoHolderThatMustNotEnd)
{
    const auto running = account.open(MemoryCause::Request, now);
    CHECK_TRUE(running->tryResize(800, now));
    now += Milliseconds(5000);
    const auto next = account.open(MemoryCause::Request, now);
    CHECK_FALSE(next->tryResize(300, now));
    LONGS_EQUAL(800, running->bytes());
}

TEST(MemoryAccount, neverHoldsMoreThanTheTotal)
{
    CHECK(rc::check([] {
        MemoryAccount account({ .totalBytes = 1000, .smallShare = 0.2, .smallBytes = 100 });
        TimePoint now {};
        std::vector<std::unique_ptr<MemoryAccount::Holder>> holders;
        for (int index = 0; index < 8; ++index) {
            holders.push_back(account.open(MemoryCause::Request, now));
            holders.back()->setEviction([] {});
        }
        for (int step = 0; step < 60; ++step) {
            now += Milliseconds(*rc::gen::inRange(0, 800));
            auto& holder = holders[static_cast<std::size_t>(*rc::gen::inRange(0, 8))];
            holder->onProgress(now);
            holder->tryResize(static_cast<std::size_t>(*rc::gen::inRange(0, 1200)), now);
            std::size_t held = 0;
            for (const auto& each : holders)
                held += each->bytes();
            RC_ASSERT(held == account.heldBytes());
            RC_ASSERT(held <= 1000U);
        }
    }));
}
