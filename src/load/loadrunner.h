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
    // Entry hosts as ADDRESS:PORT, used in round-robin order.
    std::vector<std::string> entryHosts;
    // Whether a refused request is sent again after the delay that the refusal names.
    bool retriesRefusedRequests = true;
    // Time to wait for a response after the deadline of the request.
    Milliseconds gracePeriod { 2000 };
};

// Sends planned requests to entry hosts at their planned times, independent of the responses (open
// loop), and collects the results.
class LoadRunner {
public:
    LoadRunner(boost::asio::io_context& context, const Workload& workload, LoadRunnerOptions options);

    // Runs the plan to its end and returns the results in the order of the plan.
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

// Creates a client of an endpoint "ADDRESS:PORT". Throws std::runtime_error for text without a colon,
// std::invalid_argument or std::out_of_range for a malformed port.
std::unique_ptr<HttpClient> makeClient(
    boost::asio::io_context& context, const std::string& endpoint);

}
