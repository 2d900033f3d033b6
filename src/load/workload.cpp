#include "load/workload.h"

#include "libapricot/cataloguejson.h"

#include <boost/json/parse.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace Apricot {

namespace {

    double rateAt(const std::vector<RateStep>& schedule, Duration time)
    {
        double rate = 0;
        for (const RateStep& step : schedule) {
            if (step.startsAt <= time)
                rate = step.requestsPerSecond;
        }
        return rate;
    }

}

Workload loadWorkload(const std::string& file)
{
    std::ifstream stream(file);
    if (!stream)
        throw std::runtime_error("can't read the workload file " + file);
    std::stringstream text;
    text << stream.rdbuf();
    const boost::json::value json = boost::json::parse(text.str());
    Workload workload;
    for (const auto& [name, item] : json.at("pipelines").as_object())
        workload.items.push_back(
            { .entry = parseCatalogueEntry(PipelineId(std::string(name)), item.at("entry")),
                .weight = item.at("weight").to_number<double>() });
    if (workload.items.empty())
        throw std::runtime_error("workload file " + file + " contains no pipelines");
    return workload;
}

std::vector<RateStep> parseSchedule(const std::string& text)
{
    std::vector<RateStep> schedule;
    std::stringstream steps(text);
    for (std::string step; std::getline(steps, step, ',');) {
        const std::size_t colon = step.find(':');
        if (colon == std::string::npos)
            throw std::runtime_error(
                "invalid step of the schedule, expected FROM_MS:PER_SECOND: " + step);
        schedule.push_back({ .startsAt = Milliseconds(std::stoll(step.substr(0, colon))),
            .requestsPerSecond = std::stod(step.substr(colon + 1)) });
    }
    return schedule;
}

std::vector<PlannedRequest> makePlan(const Workload& workload, const PlanOptions& options)
{
    std::mt19937_64 random(options.seed);
    std::vector<double> weights;
    for (const WorkloadItem& item : workload.items)
        weights.push_back(item.weight);
    std::discrete_distribution<std::size_t> itemDistribution(weights.begin(), weights.end());
    std::vector<PlannedRequest> plan;
    Duration arrival {};
    while (arrival < options.length && plan.size() < options.maxRequests) {
        const double rate = rateAt(options.schedule, arrival);
        if (rate <= 0) {
            arrival += Milliseconds(1);
            continue;
        }
        const double gap = std::exponential_distribution<double>(rate)(random);
        arrival += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        const auto prefix = random() % static_cast<std::uint64_t>(std::max(1, options.prefixCount));
        std::string input = "instructions of kind " + std::to_string(prefix)
            + " that many requests begin with, long enough to be kept, then request ";
        input += std::to_string(random());
        plan.push_back({ .arrival = arrival,
            .itemIndex = itemDistribution(random),
            .input = std::move(input) });
    }
    return plan;
}

}
