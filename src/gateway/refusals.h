#pragma once

#include "libapricot/clock.h"
#include "libnet/httpserver.h"

#include <optional>
#include <string_view>

namespace Apricot {

// Why a request gets an answer of the system's own.
enum class GatewayRefusal {
    // Not run, and never will be.
    NotReady,
    Overloaded,
    NoServer,
    OutOfTime,
    // Refused for good.
    UnknownRoute,
    UnknownKey,
    // It may have run.
    ServerFailed,
    TimedOut,
};

std::string_view refusalName(GatewayRefusal reason);
// Status of the answer. 503 says that the request did not run and never will; 502 and 504 say nothing.
int refusalStatus(GatewayRefusal reason);

// Answers a request without a backend server's answer, with a time to come back where that can help.
boost::asio::awaitable<void> refuse(HttpExchange& exchange, GatewayRefusal reason,
    std::optional<Milliseconds> retryAfter = std::nullopt);

}
