#include "property.h"

#include "libapricot/metrics.h"

#include <numeric>
#include <thread>

using namespace Apricot;

TEST_GROUP(Metrics) {};

TEST(Metrics, writesThePrometheusTextFormat)
{
    MetricRegistry registry;
    registry.counter("calls_total", "Calls.", { { "stage", "a\"b\\c\nd" } }).add(3);
    registry.gauge("depth", "Queue\ndepth.").set(1.5);
    Histogram& histogram = registry.histogram("wait_seconds", "Wait.", {}, { 0.1, 1 });
    for (const double value : { 0.05, 0.1, 0.5, 1.0, 4.0 })
        histogram.observe(value);
    STRCMP_EQUAL("# HELP calls_total Calls.\n"
                 "# TYPE calls_total counter\n"
                 "calls_total{stage=\"a\\\"b\\\\c\\nd\"} 3\n"
                 "# HELP depth Queue\\ndepth.\n"
                 "# TYPE depth gauge\n"
                 "depth 1.5\n"
                 "# HELP wait_seconds Wait.\n"
                 "# TYPE wait_seconds histogram\n"
                 "wait_seconds_bucket{le=\"0.1\"} 2\n"
                 "wait_seconds_bucket{le=\"1\"} 4\n"
                 "wait_seconds_bucket{le=\"+Inf\"} 5\n"
                 "wait_seconds_sum 5.65\n"
                 "wait_seconds_count 5\n",
        registry.text().c_str());
}

TEST(Metrics, aMetricIsCreatedOnceAndKeepsItsType)
{
    MetricRegistry registry;
    Counter& first = registry.counter("a_total", "A.", { { "x", "1" } });
    POINTERS_EQUAL(&first, &registry.counter("a_total", "A.", { { "x", "1" } }));
    CHECK_TRUE(&first != &registry.counter("a_total", "A.", { { "x", "2" } }));
    CHECK_THROWS(std::invalid_argument, registry.gauge("a_total", "A."));
    CHECK_THROWS(std::invalid_argument, registry.gauge("a total", "A."));
}

TEST(Metrics, concurrentObservationsAreAllCounted)
{
    Histogram histogram(latencyBounds());
    const auto observe = [&histogram] {
        for (int index = 0; index < 20'000; ++index)
            histogram.observe(Milliseconds(index % 100));
    };
    std::thread other(observe);
    observe();
    other.join();
    const std::vector<std::uint64_t> counts = histogram.counts();
    LONGS_EQUAL(40'000, std::accumulate(counts.begin(), counts.end(), std::uint64_t { 0 }));
}

TEST(Metrics, observationsAreCountedInTheFirstBucketThatHoldsThem)
{
    checkProperty("an observation is counted in its bucket", [] {
        const double value = *rc::gen::inRange(-10, 90'000) / 1000.0;
        Histogram histogram(latencyBounds());
        histogram.observe(value);
        const std::vector<std::uint64_t> counts = histogram.counts();
        std::size_t expected = 0;
        while (expected < histogram.bounds().size() && value > histogram.bounds()[expected])
            ++expected;
        RC_ASSERT(counts.size() == histogram.bounds().size() + 1);
        RC_ASSERT(counts[expected] == 1U);
    });
}
