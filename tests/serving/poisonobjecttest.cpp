#include "libserving/poisonobject.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(PoisonObject) {};

TEST(PoisonObject, requestsAndPartsSurviveTheStore)
{
    const Milliseconds lifetime { 1000 };
    const PoisonNotice request { .fingerprint = 1,
        .remaining = lifetime,
        .crashes = { { BackendServerId("s1"), 10 } },
        .cleared = { { BackendServerId("s2"), 20, 0 } } };
    PoisonNotice part = request;
    part.fingerprint = 2;
    part.part = "5c1e07a2";
    const std::vector<PoisonNotice> notices { request, part };
    CHECK_TRUE(readPoisonNotices(toJson(notices), lifetime) == notices);
}

// Guards against taking a request of which nothing is known for a suspect.
TEST(PoisonObject, entriesWithoutACrashAreSkipped)
{
    const std::vector<PoisonNotice> notices { { .fingerprint = 1 } };
    LONGS_EQUAL(0, readPoisonNotices(toJson(notices), Milliseconds(1000)).size());
}
