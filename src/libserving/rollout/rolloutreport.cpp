#include "libserving/rollout/rolloutreport.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    json::object toObject(const RolloutOrder& order)
    {
        return { { "pool", order.pool.value() }, { "target", order.target.value() },
            { "limit_ms", order.timeLimit.count() } };
    }

    RolloutOrder readOrder(const json::value& value)
    {
        return { .pool = PoolId(std::string(value.at("pool").as_string())),
            .target = SoftwareVersion(std::string(value.at("target").as_string())),
            .timeLimit = Milliseconds(value.at("limit_ms").to_number<std::int64_t>()) };
    }

    // Durations as pairs of a bucket and its count; most buckets are empty.
    json::array toArray(const AnswerCounts& counts)
    {
        json::array durations;
        for (std::size_t bucket = 0; bucket < AnswerCounts::durationBuckets; ++bucket) {
            if (counts.durations[bucket] > 0)
                durations.emplace_back(json::array { bucket, counts.durations[bucket] });
        }
        return { counts.answers, counts.failures, counts.failedServers, std::move(durations) };
    }

    AnswerCounts readCounts(const json::value& value)
    {
        const json::array& fields = value.as_array();
        AnswerCounts counts { .answers = fields.at(0).to_number<std::uint32_t>(),
            .failures = fields.at(1).to_number<std::uint32_t>(),
            .failedServers = fields.at(2).to_number<std::uint64_t>() };
        if (counts.failures > counts.answers)
            throw std::invalid_argument("expected no more failures than answers");
        for (const json::value& entry : fields.at(3).as_array())
            counts.durations.at(entry.as_array().at(0).to_number<std::size_t>())
                = entry.as_array().at(1).to_number<std::uint32_t>();
        return counts;
    }

    json::object toObject(const RolloutReport& report)
    {
        json::object object = toObject(report.order);
        object["hosts"] = report.hosts;
        object["shifted_hosts"] = report.shiftedHosts;
        object["in_flight"] = report.inFlightAtReplaced;
        if (report.fault)
            object["fault"] = *report.fault;
        json::array routes;
        for (const auto& [name, evidence] : report.evidence.routes())
            routes.emplace_back(json::array { name, toArray(evidence.target), toArray(evidence.replaced) });
        object["routes"] = std::move(routes);
        return object;
    }

    RolloutReport readReport(const json::value& value)
    {
        RolloutReport report { .order = readOrder(value),
            .hosts = value.at("hosts").to_number<std::size_t>(),
            .shiftedHosts = value.at("shifted_hosts").to_number<std::size_t>(),
            .inFlightAtReplaced = value.at("in_flight").to_number<std::size_t>() };
        if (const json::value* fault = value.as_object().if_contains("fault"))
            report.fault = std::string(fault->as_string());
        for (const json::value& entry : value.at("routes").as_array()) {
            const json::array& fields = entry.as_array();
            RouteEvidence& route = report.evidence.route(std::string(fields.at(0).as_string()));
            route.target.add(readCounts(fields.at(1)));
            route.replaced.add(readCounts(fields.at(2)));
        }
        return report;
    }

}

std::string toJson(const RolloutReports& reports)
{
    json::array list;
    for (const RolloutReport& report : reports.reports)
        list.emplace_back(toObject(report));
    return json::serialize(json::object { { "host", reports.host.value() }, { "reports", std::move(list) } });
}

RolloutReports readRolloutReports(const std::string& text)
{
    const json::value value = json::parse(text);
    RolloutReports reports { .host = HostId(std::string(value.at("host").as_string())) };
    for (const json::value& report : value.at("reports").as_array())
        reports.reports.push_back(readReport(report));
    return reports;
}

std::string toJson(const std::vector<RolloutFinding>& findings)
{
    json::array list;
    for (const RolloutFinding& finding : findings) {
        json::object object = toObject(finding.order);
        object["fault"] = finding.fault;
        list.emplace_back(std::move(object));
    }
    return json::serialize(list);
}

std::vector<RolloutFinding> readRolloutFindings(const std::string& text)
{
    std::vector<RolloutFinding> findings;
    const json::value value = json::parse(text);
    for (const json::value& entry : value.as_array())
        findings.push_back({ readOrder(entry), std::string(entry.at("fault").as_string()) });
    return findings;
}

}
