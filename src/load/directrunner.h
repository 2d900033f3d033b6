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

// Calls a backend server itself with a fixed number of calls at a time, to compare with the same
// work through the whole system.
class DirectRunner {
public:
    DirectRunner(boost::asio::io_context& context, DirectOptions options);

    // Times of all calls; a failed one is missing.
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
