#pragma once

#include "libapricot/clock.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <variant>
#include <vector>

namespace Apricot {

// A value that only increases. Thread-safe.
class Counter {
public:
    void add(std::uint64_t step = 1) { m_value.fetch_add(step, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

// A value that may increase and decrease. Thread-safe.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double step) { m_value.fetch_add(step, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

// Counts observations by bucket. Thread-safe.
class Histogram {
public:
    // Bounds must be ascending; values above the last one are counted in an additional bucket.
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();

    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    void observe(double value);
    // Observes a duration in seconds.
    void observe(Duration duration);

    const std::vector<double>& bounds() const { return m_bounds; }
    // Number of observations per bucket, not cumulative. The last bucket counts those above every
    // bound.
    std::vector<std::uint64_t> counts() const;
    double sum() const { return m_sum.load(std::memory_order_relaxed); }

private:
    class Buckets;

    std::vector<double> m_bounds;
    std::unique_ptr<Buckets> m_buckets;
    std::atomic<double> m_sum { 0 };
};

// Bucket bounds for durations from a millisecond to a minute, in seconds.
std::vector<double> latencyBounds();

using MetricLabels = std::map<std::string, std::string>;

// All metrics of a process. A metric is created at its first use and lives as long as the registry,
// so callers may keep the reference. Throws std::invalid_argument for a name that Prometheus does
// not allow or that is already used for a metric of another type.
class MetricRegistry {
public:
    Counter& counter(
        const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(
        const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Histogram& histogram(const std::string& name, const std::string& help,
        const MetricLabels& labels = {}, const std::vector<double>& bounds = latencyBounds());

    // Removes all metrics with a name, for example gauges of objects that no longer exist.
    // References to them become invalid.
    void remove(const std::string& name);

    // All metrics in the Prometheus text format, version 0.0.4.
    std::string text() const;

private:
    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Gauge>,
        std::unique_ptr<Histogram>>;
    struct Family {
        std::string help;
        std::map<MetricLabels, Metric> metrics;
    };

    template <typename Type, typename... Arguments>
    Type& findOrCreate(const std::string& name, const std::string& help,
        const MetricLabels& labels, const Arguments&... arguments);

    mutable std::mutex m_mutex;
    std::map<std::string, Family> m_families;
};

}
