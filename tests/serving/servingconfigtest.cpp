#include "libserving/servingview.h"

#include <CppUTest/TestHarness.h>

using namespace Apricot;

TEST_GROUP(ServingConfig)
{
    ServingConfig config {
        .version = 1,
        .routes = { { .name = "all", .host = "a.example", .pathPrefix = "/p/" },
            { .name = "part", .host = "a.example", .pathPrefix = "/p/q/" },
            { .name = "other", .host = "b.example", .pathPrefix = "/p/" } },
        .owners = std::vector<Owner> { { .id = OwnerId("kitchen"), .keys = { "k1", "k2" } } },
    };

    std::string routeOf(const char* host, const char* path) const
    {
        const Route* route = config.findRoute(host, path);
        return route ? route->name : "none";
    }
};

TEST(ServingConfig, findsTheRouteWithTheLongestPrefixForTheHost)
{
    STRCMP_EQUAL("part", routeOf("a.example", "/p/q/x").c_str());
    STRCMP_EQUAL("all", routeOf("A.Example:8080", "/p/qx").c_str());
    STRCMP_EQUAL("other", routeOf("b.example", "/p/q/x").c_str());
    STRCMP_EQUAL("none", routeOf("c.example", "/p/q/x").c_str());
    STRCMP_EQUAL("none", routeOf("a.example", "/p").c_str());
}

TEST(ServingConfig, findsOwnersByAnyOfTheirKeys)
{
    CHECK(config.findOwner("k2") != nullptr);
    CHECK(config.findOwner("") == nullptr);
    CHECK(config.findOwner("k3") == nullptr);
}

// Guards against requests that wait for their stages until their deadline, although their callers
// disconnect much earlier when no event arrives. Seen in incidents of both sites.
TEST(ServingConfig, firstEventTimeoutIsTheLongestOfItsBounds)
{
    Route route { .objective = Milliseconds(2300), .pauseTarget = Milliseconds(800) };
    LONGS_EQUAL(9200, route.firstEventTimeout().count());
    route.objective = Milliseconds(1000);
    LONGS_EQUAL(6400, route.firstEventTimeout().count());
    LONGS_EQUAL(2000, Route().firstEventTimeout().count());
}

TEST(ServingConfig, ignoresConfigurationsThatAreNotNewer)
{
    ServingView view;
    CHECK(view.applyConfig({ .version = 7 }, 70));
    CHECK(!view.applyConfig({ .version = 5 }, 60));
    CHECK(!view.applyConfig({ .version = 7 }, 70));
    // A store that comes back from an older copy.
    CHECK(!view.applyConfig({ .version = 6 }, 80));
    LONGS_EQUAL(7, view.config()->version);
}

// Guards against a view that counts as the newest one before the store or a peer has said so.
TEST(ServingConfig, isOverdueUntilItIsConfirmed)
{
    constexpr Milliseconds time { 100 };
    ServingView view;
    const TimePoint now = RuntimeClock::now();
    view.applyConfig({ .version = 7 }, 70);
    CHECK(view.isConfigOverdue(now));
    view.confirmConfig(now, now + time);
    CHECK(!view.isConfigOverdue(now));
    CHECK(view.isConfigOverdue(now + time));
}

TEST(ServingConfig, tellsWhenRoutesLastLedToOtherPools)
{
    const Route route { .host = "h", .pathPrefix = "/a/", .pools = { { .pool = PoolId("p") } } };
    ServingView view;
    view.applyConfig({ .version = 1, .routes = { route } }, 1);
    const TimePoint first = view.routingChangedAt();
    Route slower = route;
    slower.timeout = Milliseconds(9000);
    view.applyConfig({ .version = 2, .routes = { slower } }, 2);
    CHECK(view.routingChangedAt() == first);
    Route moved = route;
    moved.pools = { { .pool = PoolId("q") } };
    view.applyConfig({ .version = 3, .routes = { moved } }, 3);
    CHECK(view.routingChangedAt() > first);
    const TimePoint second = view.routingChangedAt();
    view.applyConfig({ .version = 4, .routes = { moved, { .host = "h", .pathPrefix = "/a/b/" } } }, 4);
    CHECK(view.routingChangedAt() > second);
}

// Streams that began under an earlier configuration with longer timeouts, or on a route that is gone, may be resumed too.
TEST(ServingConfig, aStreamMayBeResumedForTwiceTheLongestTimeoutOfItsPoolAndHalfAMinute)
{
    const ServingConfig config { .routes
        = { { .retryRule = RetryRule::Stream, .timeout = Milliseconds(16'000), .pools = { { .pool = PoolId("p") } } },
            { .retryRule = RetryRule::Stream, .timeout = Milliseconds(18'000), .pools = { { .pool = PoolId("p") } } },
            { .timeout = Milliseconds(90'000), .pools = { { .pool = PoolId("p") } } },
            { .retryRule = RetryRule::Stream, .timeout = Milliseconds(500), .pools = { { .pool = PoolId("q") } } } } };
    LONGS_EQUAL(36'000, config.resumptionTime(PoolId("p")).count());
    LONGS_EQUAL(30'000, config.resumptionTime(PoolId("q")).count());
    LONGS_EQUAL(30'000, config.resumptionTime(PoolId("r")).count());
}
