#pragma once

#include "load/loadresult.h"
#include "load/workload.h"

#include "libnet/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Apricot {

struct LoadRunnerOptions {
    // Entry hosts as ADDRESS:PORT, used in turn.
    std::vector<std::string> entryHosts;
    // Whether a refused request is sent again after the time that the refusal names.
    bool retriesRefusedRequests = true;
    // How long after its deadline an answer is still waited for.
    Milliseconds gracePeriod { 2000 };
};

// Sends a plan to entry hosts at its own pace, whatever the answers, and collects the results.
class LoadRunner {
public:
    LoadRunner(boost::asio::io_context& context, const Workload& workload, LoadRunnerOptions options);

    // Runs the whole plan.
    std::vector<RequestResult> run(const std::vector<PlannedRequest>& plan);

private:
    boost::asio::awaitable<void> sendPlanned(const PlannedRequest& planned, std::size_t index);
    boost::asio::awaitable<Milliseconds> sendOnce(const PlannedRequest& planned,
        const std::string& key, TimePoint plannedStart, RequestResult& result);
    HttpClient& nextClient() { return *m_clients[m_nextClientIndex++ % m_clients.size()]; }

    boost::asio::io_context& m_context;
    const Workload& m_workload;
    LoadRunnerOptions m_options;
    std::vector<std::unique_ptr<HttpClient>> m_clients;
    std::vector<RequestResult> m_results;
    TimePoint m_start {};
    std::size_t m_nextClientIndex = 0;
};

// A client of "ADDRESS:PORT". Throws std::runtime_error for any other text.
std::unique_ptr<HttpClient> makeClient(
    boost::asio::io_context& context, const std::string& endpoint);

}
