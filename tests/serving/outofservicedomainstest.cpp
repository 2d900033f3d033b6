#include "libserving/outofservicedomains.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(OutOfServiceDomains)
{
    OutOfServiceDomains domains { Milliseconds(5000) };
    TimePoint now {};
    const FailureDomainId a { "a" };
    const FailureDomainId b { "b" };
};

TEST(OutOfServiceDomains, domainsThatAnOlderCopyLacksStayOutForTheSettleTime)
{
    domains.replaceAll({ a }, now);
    domains.onStoreRestored(now);
    domains.replaceAll({ b }, now);
    CHECK(domains.current(now + Milliseconds(4999)) == std::set<FailureDomainId>({ a, b }));
    CHECK(domains.current(now + Milliseconds(5000)) == std::set<FailureDomainId>({ b }));
}

TEST(OutOfServiceDomains, aRemovalAfterTheReturnOfTheStoreIsApplied)
{
    domains.replaceAll({ a, b }, now);
    domains.onStoreRestored(now);
    domains.replaceAll({ a }, now);
    domains.remove(a);
    domains.remove(b);
    CHECK(domains.current(now).empty());
}

TEST(OutOfServiceDomains, aListOfTheSameStoreIsAppliedAtOnce)
{
    domains.replaceAll({ a }, now);
    domains.replaceAll({}, now);
    CHECK(domains.current(now).empty());
}
