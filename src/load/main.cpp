#include "load/directrunner.h"
#include "load/loadreport.h"
#include "load/loadrunner.h"

#include <boost/asio/io_context.hpp>
#include <boost/json/serialize.hpp>
#include <gflags/gflags.h>

#include <fstream>
#include <iostream>
#include <sstream>

DEFINE_string(entries, "", "entry hosts as ADDRESS:PORT, separated by commas");
DEFINE_string(workload, "", "JSON file with the pipelines and their weights");
DEFINE_string(schedule, "0:20", "rates as FROM_MS:PER_SECOND, separated by commas");
DEFINE_int32(length_ms, 10000, "length of the run in milliseconds");
DEFINE_uint64(most, 20000, "maximum number of requests");
DEFINE_uint64(seed, 1, "random seed of the plan");
DEFINE_bool(honour_retry, true, "retry a refused request after the delay that the refusal names");
DEFINE_string(json, "", "file that receives the figures as JSON");
DEFINE_string(direct, "", "call the backend server at ADDRESS:PORT directly instead of entry hosts");
DEFINE_int32(concurrency, 1, "number of concurrent calls with --direct");
DEFINE_int32(max_tokens, 16, "maximum number of tokens of a call with --direct");

namespace {

using namespace Apricot;

std::vector<std::string> splitByComma(const std::string& text)
{
    std::vector<std::string> parts;
    std::stringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

Workload directWorkload()
{
    return { .items = { { .entry = { .name = PipelineId("direct"), .owner = OwnerId("direct") } } } };
}

void writeReport(
    const Workload& workload, const std::vector<RequestResult>& results, Duration length)
{
    const boost::json::value report = makeReport(workload, results, length);
    std::cout << formatReport(report);
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << boost::json::serialize(report) << '\n';
}

void runDirect()
{
    boost::asio::io_context context(1);
    DirectRunner runner(context,
        { .server = FLAGS_direct,
            .concurrency = FLAGS_concurrency,
            .requests = FLAGS_most,
            .maxTokens = FLAGS_max_tokens });
    const TimePoint start = RuntimeClock::now();
    const std::vector<RequestResult> results = runner.run();
    writeReport(directWorkload(), results, RuntimeClock::now() - start);
}

void runLoad()
{
    boost::asio::io_context context(1);
    const Workload workload = loadWorkload(FLAGS_workload);
    LoadRunner runner(context, workload,
        { .entryHosts = splitByComma(FLAGS_entries),
            .retriesRefusedRequests = FLAGS_honour_retry });
    const std::vector<PlannedRequest> plan = makePlan(workload,
        { .schedule = parseSchedule(FLAGS_schedule),
            .length = Milliseconds(FLAGS_length_ms),
            .maxRequests = FLAGS_most,
            .seed = FLAGS_seed });
    writeReport(workload, runner.run(plan), Milliseconds(FLAGS_length_ms));
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        if (FLAGS_direct.empty())
            runLoad();
        else
            runDirect();
        return 0;
    } catch (const std::exception& error) {
        std::cerr << "apricot-load: " << error.what() << '\n';
        return 1;
    }
}
