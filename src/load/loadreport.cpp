#include "load/loadreport.h"

#include "libapricot/cataloguejson.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <map>

namespace Apricot {

namespace {

    namespace Json = boost::json;

    constexpr Milliseconds windowLength { 5000 };

    // Names of windows are padded with zeros to this width, so that they sort by time.
    constexpr std::size_t windowNameWidth = 9;

    long long toMilliseconds(Duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

    // Counts and latencies of the requests of one service class, owner or time window.
    struct RequestGroup {
        int sent = 0;
        int inTime = 0;
        int refused = 0;
        std::vector<Duration> latencies;

        void add(const RequestResult& result)
        {
            ++sent;
            inTime += result.outcome == RequestOutcome::InTime ? 1 : 0;
            refused += result.outcome == RequestOutcome::Refused ? 1 : 0;
            if (result.outcome == RequestOutcome::InTime || result.outcome == RequestOutcome::Late)
                latencies.push_back(result.latency);
        }

        Json::object json() const
        {
            return { { "sent", sent }, { "in_time", inTime }, { "refused", refused },
                { "attainment", sent > 0 ? double(inTime) / sent : 0.0 },
                { "p50_ms", percentile(latencies, 0.5) },
                { "p99_ms", percentile(latencies, 0.99) } };
        }
    };

    Json::object percentilesJson(const std::vector<Duration>& samples)
    {
        return { { "p50_ms", percentile(samples, 0.5) }, { "p95_ms", percentile(samples, 0.95) },
            { "p99_ms", percentile(samples, 0.99) } };
    }

    Json::object groupsJson(const std::map<std::string, RequestGroup>& groups)
    {
        Json::object json;
        for (const auto& [name, group] : groups)
            json[name] = group.json();
        return json;
    }

    Json::object costsJson(const Workload& workload, const std::vector<RequestResult>& results)
    {
        std::map<std::string, StageCost> costs;
        for (const RequestResult& result : results) {
            const std::string& pipeline = workload.items[result.itemIndex].entry.name.value();
            for (const StageCost& cost : result.costs) {
                StageCost& total = costs[pipeline + "/" + cost.stage];
                total.busy += cost.busy;
                total.wasted += cost.wasted;
                total.tokens += cost.tokens;
                total.attempts += cost.attempts;
            }
        }
        Json::object json;
        for (const auto& [stage, cost] : costs)
            json[stage] = Json::object { { "busy_ms", cost.busy.count() },
                { "wasted_ms", cost.wasted.count() }, { "tokens", cost.tokens },
                { "attempts", cost.attempts } };
        return json;
    }

    Json::object refusalsJson(const std::vector<RequestResult>& results)
    {
        std::map<std::string, int> reasons;
        std::vector<Duration> times;
        for (const RequestResult& result : results) {
            times.insert(times.end(), result.refusalTimes.begin(), result.refusalTimes.end());
            if (result.outcome == RequestOutcome::Refused)
                ++reasons[result.refusalReason + "/" + result.ran];
        }
        Json::object byReason;
        for (const auto& [reason, count] : reasons)
            byReason[reason] = count;
        return { { "by_reason", byReason }, { "time_to_refusal", percentilesJson(times) } };
    }

    int countOutcomes(const std::vector<RequestResult>& results, RequestOutcome outcome)
    {
        return static_cast<int>(std::count_if(results.begin(), results.end(),
            [outcome](const RequestResult& result) { return result.outcome == outcome; }));
    }

    std::string formatGroup(std::string_view name, const Json::value& group)
    {
        std::array<char, 200> line {};
        std::snprintf(line.data(), line.size(), "%-28.*s %7lld %8lld %8lld %9.1f%% %9.1f %9.1f\n",
            static_cast<int>(name.size()), name.data(),
            static_cast<long long>(group.at("sent").as_int64()),
            static_cast<long long>(group.at("in_time").as_int64()),
            static_cast<long long>(group.at("refused").as_int64()),
            100 * group.at("attainment").as_double(), group.at("p50_ms").as_double(),
            group.at("p99_ms").as_double());
        return line.data();
    }

}

double percentile(std::vector<Duration> samples, double fraction)
{
    if (samples.empty())
        return 0;
    const auto rank = static_cast<std::ptrdiff_t>(
        std::ceil(fraction * static_cast<double>(samples.size())) - 1);
    const auto ranked = samples.begin() + std::max<std::ptrdiff_t>(0, rank);
    std::nth_element(samples.begin(), ranked, samples.end());
    return inMilliseconds(*ranked);
}

Json::value makeReport(
    const Workload& workload, const std::vector<RequestResult>& results, Duration length)
{
    std::map<std::string, RequestGroup> classes;
    std::map<std::string, RequestGroup> owners;
    std::map<std::string, RequestGroup> windows;
    RequestGroup all;
    std::vector<Duration> firstTokenDelays;
    std::vector<Duration> tokenGaps;
    int duplicateTokens = 0;
    int sends = 0;
    for (const RequestResult& result : results) {
        const CatalogueEntry& entry = workload.items[result.itemIndex].entry;
        const Duration window = result.plannedAt - result.plannedAt % windowLength;
        const std::string windowName = std::to_string(toMilliseconds(window)) + " ms";
        all.add(result);
        classes[std::string(serviceClassName(entry.serviceClass))].add(result);
        owners[entry.owner.value()].add(result);
        windows[std::string(windowNameWidth - std::min(windowNameWidth, windowName.size()), '0') + windowName].add(result);
        if (result.firstTokenDelay > Duration::zero())
            firstTokenDelays.push_back(result.firstTokenDelay);
        tokenGaps.insert(tokenGaps.end(), result.tokenGaps.begin(), result.tokenGaps.end());
        duplicateTokens += result.duplicateTokens;
        sends += result.sends;
    }
    const double seconds = std::chrono::duration<double>(length).count();
    return Json::object { { "all", all.json() }, { "by_class", groupsJson(classes) },
        { "by_owner", groupsJson(owners) }, { "by_window", groupsJson(windows) },
        { "goodput_per_second", seconds > 0 ? all.inTime / seconds : 0.0 },
        { "first_token", percentilesJson(firstTokenDelays) },
        { "between_tokens", percentilesJson(tokenGaps) },
        { "refusals", refusalsJson(results) },
        { "late", countOutcomes(results, RequestOutcome::Late) },
        { "lost", countOutcomes(results, RequestOutcome::Lost) },
        { "wrong", countOutcomes(results, RequestOutcome::Wrong) },
        { "failed", countOutcomes(results, RequestOutcome::Failed) },
        { "doubled", duplicateTokens },
        { "sends", sends }, { "cost_by_stage", costsJson(workload, results) } };
}

std::string formatReport(const Json::value& report)
{
    std::string text
        = "group                           sent  in_time  refused attainment    p50_ms    p99_ms\n";
    text += formatGroup("all", report.at("all"));
    for (const char* field : { "by_class", "by_owner", "by_window" }) {
        for (const auto& [name, group] : report.at(field).as_object())
            text += formatGroup(std::string(name), group);
    }
    for (const char* field : { "goodput_per_second", "first_token", "between_tokens", "refusals",
             "late", "lost", "wrong", "failed", "doubled", "sends", "cost_by_stage" })
        text += std::string(field) + ": " + Json::serialize(report.at(field)) + "\n";
    return text;
}

}
