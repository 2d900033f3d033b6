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

    // Width of a window's name, so that windows sort by time.
    constexpr std::size_t windowNameWidth = 9;

    long long millisecondsOf(Duration duration)
    {
        return std::chrono::duration_cast<Milliseconds>(duration).count();
    }

    // Counts of requests that share a class, an owner or a window.
    struct Group {
        int sent = 0;
        int inTime = 0;
        int refused = 0;
        std::vector<Duration> totals;

        void add(const RequestResult& result)
        {
            ++sent;
            inTime += result.end == RequestEnd::InTime ? 1 : 0;
            refused += result.end == RequestEnd::Refused ? 1 : 0;
            if (result.end == RequestEnd::InTime || result.end == RequestEnd::Late)
                totals.push_back(result.total);
        }

        Json::object json() const
        {
            return { { "sent", sent }, { "in_time", inTime }, { "refused", refused },
                { "attainment", sent > 0 ? double(inTime) / sent : 0.0 },
                { "p50_ms", percentile(totals, 0.5) }, { "p99_ms", percentile(totals, 0.99) } };
        }
    };

    Json::object delays(const std::vector<Duration>& samples)
    {
        return { { "p50_ms", percentile(samples, 0.5) }, { "p95_ms", percentile(samples, 0.95) },
            { "p99_ms", percentile(samples, 0.99) } };
    }

    Json::object groupsJson(const std::map<std::string, Group>& groups)
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
            const std::string& pipeline = workload.items[result.item].entry.name.value();
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
            if (result.end == RequestEnd::Refused)
                ++reasons[result.refusalReason + "/" + result.ran];
        }
        Json::object byReason;
        for (const auto& [reason, count] : reasons)
            byReason[reason] = count;
        return { { "by_reason", byReason }, { "time_to_refusal", delays(times) } };
    }

    int countEnds(const std::vector<RequestResult>& results, RequestEnd end)
    {
        return static_cast<int>(std::count_if(results.begin(), results.end(),
            [end](const RequestResult& result) { return result.end == end; }));
    }

    std::string groupLine(std::string_view name, const Json::value& group)
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

double percentile(std::vector<Duration> samples, double share)
{
    if (samples.empty())
        return 0;
    const auto place = static_cast<std::ptrdiff_t>(
        std::ceil(share * static_cast<double>(samples.size())) - 1);
    const auto middle = samples.begin() + std::max<std::ptrdiff_t>(0, place);
    std::nth_element(samples.begin(), middle, samples.end());
    return inMilliseconds(*middle);
}

Json::value makeReport(
    const Workload& workload, const std::vector<RequestResult>& results, Duration length)
{
    std::map<std::string, Group> classes;
    std::map<std::string, Group> owners;
    std::map<std::string, Group> windows;
    Group all;
    std::vector<Duration> firstTokens;
    std::vector<Duration> gaps;
    int doubled = 0;
    int sends = 0;
    for (const RequestResult& result : results) {
        const CatalogueEntry& entry = workload.items[result.item].entry;
        const Duration window = result.plannedAt - result.plannedAt % windowLength;
        const std::string windowName = std::to_string(millisecondsOf(window)) + " ms";
        all.add(result);
        classes[std::string(serviceClassName(entry.serviceClass))].add(result);
        owners[entry.owner.value()].add(result);
        windows[std::string(windowNameWidth - std::min(windowNameWidth, windowName.size()), '0') + windowName].add(result);
        if (result.firstToken > Duration::zero())
            firstTokens.push_back(result.firstToken);
        gaps.insert(gaps.end(), result.tokenGaps.begin(), result.tokenGaps.end());
        doubled += result.doubled;
        sends += result.sends;
    }
    const double seconds = std::chrono::duration<double>(length).count();
    return Json::object { { "all", all.json() }, { "by_class", groupsJson(classes) },
        { "by_owner", groupsJson(owners) }, { "by_window", groupsJson(windows) },
        { "goodput_per_second", seconds > 0 ? all.inTime / seconds : 0.0 },
        { "first_token", delays(firstTokens) }, { "between_tokens", delays(gaps) },
        { "refusals", refusalsJson(results) }, { "late", countEnds(results, RequestEnd::Late) },
        { "lost", countEnds(results, RequestEnd::Lost) },
        { "wrong", countEnds(results, RequestEnd::Wrong) },
        { "failed", countEnds(results, RequestEnd::Failed) }, { "doubled", doubled },
        { "sends", sends }, { "cost_by_stage", costsJson(workload, results) } };
}

std::string formatReport(const Json::value& report)
{
    std::string text
        = "group                           sent  in_time  refused attainment    p50_ms    p99_ms\n";
    text += groupLine("all", report.at("all"));
    for (const char* part : { "by_class", "by_owner", "by_window" }) {
        for (const auto& [name, group] : report.at(part).as_object())
            text += groupLine(std::string(name), group);
    }
    for (const char* part : { "goodput_per_second", "first_token", "between_tokens", "refusals",
             "late", "lost", "wrong", "failed", "doubled", "sends", "cost_by_stage" })
        text += std::string(part) + ": " + Json::serialize(report.at(part)) + "\n";
    return text;
}

}
