#include "libapricot/metrics.h"

#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/variable.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <algorithm>
#include <cctype>
#include <sstream>
#include <stdexcept>

namespace Apricot {

namespace {

    namespace bh = boost::histogram; // NOLINT(readability-identifier-naming)

    // A Prometheus bucket includes its upper bound, while an interval of the axis includes its
    // lower bound. Values and bounds are therefore negated.
    std::vector<double> negateBounds(const std::vector<double>& bounds)
    {
        std::vector<double> edges(bounds.rbegin(), bounds.rend());
        for (double& edge : edges)
            edge = -edge;
        return edges;
    }

    // Buckets that several threads may increment concurrently.
    using AtomicBuckets = bh::dense_storage<bh::accumulators::count<std::uint64_t, true>>;

    auto makeBuckets(const std::vector<double>& bounds)
    {
        return bh::make_histogram_with(
            AtomicBuckets(), bh::axis::variable<double>(negateBounds(bounds)));
    }

    bool isMetricName(const std::string& name)
    {
        return !name.empty() && std::isdigit(static_cast<unsigned char>(name.front())) == 0
            && std::all_of(name.begin(), name.end(), [](unsigned char character) {
                   return std::isalnum(character) != 0 || character == '_' || character == ':';
               });
    }

    std::string escape(const std::string& text, bool escapesQuotes)
    {
        std::string escaped;
        for (const char character : text) {
            if (character == '\n') {
                escaped += "\\n";
                continue;
            }
            if (character == '\\' || (escapesQuotes && character == '"'))
                escaped += '\\';
            escaped += character;
        }
        return escaped;
    }

    std::string formatLabels(const MetricLabels& labels)
    {
        if (labels.empty())
            return {};
        std::string text = "{";
        for (const auto& [name, value] : labels) {
            if (text.size() > 1)
                text += ",";
            text += name + "=\"" + escape(value, true) + "\"";
        }
        return text + "}";
    }

    MetricLabels withBound(MetricLabels labels, const std::string& bound)
    {
        labels["le"] = bound;
        return labels;
    }

    std::string formatNumber(double number)
    {
        std::ostringstream text;
        text.precision(15);
        text << number;
        return text.str();
    }

    // Writes the lines of one metric.
    struct MetricWriter {
        const std::string& name;
        const MetricLabels& labels;
        std::string& text;

        void line(const std::string& suffix, const MetricLabels& lineLabels, const std::string& value)
        {
            text += name + suffix + formatLabels(lineLabels) + " " + value + "\n";
        }
        void operator()(const std::unique_ptr<Counter>& counter)
        {
            line("", labels, std::to_string(counter->value()));
        }
        void operator()(const std::unique_ptr<Gauge>& gauge)
        {
            line("", labels, formatNumber(gauge->value()));
        }
        void operator()(const std::unique_ptr<Histogram>& histogram)
        {
            const std::vector<std::uint64_t> counts = histogram->counts();
            std::uint64_t total = 0;
            for (std::size_t index = 0; index < counts.size(); ++index) {
                total += counts[index];
                const bool isLast = index == histogram->bounds().size();
                line("_bucket",
                    withBound(labels, isLast ? "+Inf" : formatNumber(histogram->bounds()[index])),
                    std::to_string(total));
            }
            line("_sum", labels, formatNumber(histogram->sum()));
            line("_count", labels, std::to_string(total));
        }
    };

    struct TypeNameVisitor {
        std::string operator()(const std::unique_ptr<Counter>& /*metric*/) { return "counter"; }
        std::string operator()(const std::unique_ptr<Gauge>& /*metric*/) { return "gauge"; }
        std::string operator()(const std::unique_ptr<Histogram>& /*metric*/)
        {
            return "histogram";
        }
    };

}

class Histogram::Buckets {
public:
    explicit Buckets(const std::vector<double>& bounds)
        : m_histogram(makeBuckets(bounds))
    {
    }

    void observe(double value) { m_histogram(-value); }

    std::uint64_t at(int index) const { return m_histogram.at(index).value(); }

private:
    decltype(makeBuckets({})) m_histogram;
};

Histogram::Histogram(std::vector<double> bounds)
    : m_bounds(std::move(bounds))
    , m_buckets(std::make_unique<Buckets>(m_bounds))
{
}

Histogram::~Histogram() = default;

void Histogram::observe(double value)
{
    m_buckets->observe(value);
    m_sum.fetch_add(value, std::memory_order_relaxed);
}

void Histogram::observe(Duration duration)
{
    observe(std::chrono::duration<double>(duration).count());
}

std::vector<std::uint64_t> Histogram::counts() const
{
    // The negated axis has one bucket between every two bounds and one beyond each end.
    const int lastIndex = static_cast<int>(m_bounds.size()) - 1;
    std::vector<std::uint64_t> counts;
    counts.reserve(m_bounds.size() + 1);
    for (int index = lastIndex; index >= -1; --index)
        counts.push_back(m_buckets->at(index));
    return counts;
}

std::vector<double> latencyBounds()
{
    return { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.5, 2.5, 5, 7.5, 10, 15,
        30, 60 };
}

template <typename Type, typename... Arguments>
Type& MetricRegistry::findOrCreate(const std::string& name, const std::string& help,
    const MetricLabels& labels, const Arguments&... arguments)
{
    if (!isMetricName(name))
        throw std::invalid_argument("invalid metric name: " + name);
    const std::lock_guard lock(m_mutex);
    Family& family = m_families.try_emplace(name, Family { help, {} }).first->second;
    const bool hasOtherType = !family.metrics.empty()
        && !std::holds_alternative<std::unique_ptr<Type>>(family.metrics.begin()->second);
    if (hasOtherType)
        throw std::invalid_argument("metric " + name + " is already registered with another type");
    const auto found = family.metrics.find(labels);
    Metric& metric = found != family.metrics.end()
        ? found->second
        : family.metrics.emplace(labels, std::make_unique<Type>(arguments...)).first->second;
    return *std::get<std::unique_ptr<Type>>(metric);
}

Counter& MetricRegistry::counter(
    const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return findOrCreate<Counter>(name, help, labels);
}

Gauge& MetricRegistry::gauge(
    const std::string& name, const std::string& help, const MetricLabels& labels)
{
    return findOrCreate<Gauge>(name, help, labels);
}

Histogram& MetricRegistry::histogram(const std::string& name, const std::string& help,
    const MetricLabels& labels, const std::vector<double>& bounds)
{
    return findOrCreate<Histogram>(name, help, labels, bounds);
}

void MetricRegistry::remove(const std::string& name)
{
    const std::lock_guard lock(m_mutex);
    m_families.erase(name);
}

std::string MetricRegistry::text() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [name, family] : m_families) {
        text += "# HELP " + name + " " + escape(family.help, false) + "\n";
        text += "# TYPE " + name + " "
            + std::visit(TypeNameVisitor {}, family.metrics.begin()->second) + "\n";
        for (const auto& [labels, metric] : family.metrics)
            std::visit(MetricWriter { name, labels, text }, metric);
    }
    return text;
}

}
