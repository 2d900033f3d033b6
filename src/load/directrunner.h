#pragma once

#include "load/loadresult.h"

#include "libnet/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace Apricot {

struct DirectOptions {
    // Backend server as ADDRESS:PORT.
    std::string server;
    int concurrency = 1;
    std::size_t requests = 200;
    std::string stage = "generate";
    int maxTokens = 16;
};

// Calls a backend server directly with a fixed number of concurrent calls, for comparison with the
// same work through the complete system.
class DirectRunner {
public:
    DirectRunner(boost::asio::io_context& context, DirectOptions options);

    // Makes all calls and returns their results. A failed call has the outcome Failed.
    std::vector<RequestResult> run();

private:
    boost::asio::awaitable<void> runCalls();
    boost::asio::awaitable<void> callOnce(std::size_t number);

    boost::asio::io_context& m_context;
    DirectOptions m_options;
    std::unique_ptr<HttpClient> m_client;
    std::size_t m_nextNumber = 0;
    std::vector<RequestResult> m_results;
};

}
