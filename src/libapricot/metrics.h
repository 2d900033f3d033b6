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

// A count that only rises. May be used on any thread.
class Counter {
public:
    void add(std::uint64_t step = 1) { m_value.fetch_add(step, std::memory_order_relaxed); }
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

// A level that rises and falls. May be used on any thread.
class Gauge {
public:
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }
    void add(double step) { m_value.fetch_add(step, std::memory_order_relaxed); }
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0 };
};

// Observations counted by the bounds between which they fall. May be used on any thread.
class Histogram {
public:
    // Bounds must rise; there is one more bucket above the last.
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();

    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    void observe(double value);
    // Observes a time in seconds.
    void observe(Duration duration);

    const std::vector<double>& bounds() const { return m_bounds; }
    // Observations of each bucket alone; the last stands for those above every bound.
    std::vector<std::uint64_t> counts() const;
    double sum() const { return m_sum.load(std::memory_order_relaxed); }

private:
    class Buckets;

    std::vector<double> m_bounds;
    std::unique_ptr<Buckets> m_buckets;
    std::atomic<double> m_sum { 0 };
};

// Bounds for times from a millisecond to a minute, in seconds.
std::vector<double> latencyBounds();

using MetricLabels = std::map<std::string, std::string>;

// All metrics of a process. A metric is made at its first use and lives as long as the registry, so
// callers keep the reference. Names with another meaning than before, or outside of what
// Prometheus allows, throw std::invalid_argument.
class MetricRegistry {
public:
    Counter& counter(
        const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Gauge& gauge(
        const std::string& name, const std::string& help, const MetricLabels& labels = {});
    Histogram& histogram(const std::string& name, const std::string& help,
        const MetricLabels& labels = {}, const std::vector<double>& bounds = latencyBounds());

    // Removes every metric of a name, such as gauges of things that have gone. References to them
    // must not be used any more.
    void remove(const std::string& name);

    // Every metric in the Prometheus text format, version 0.0.4.
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
