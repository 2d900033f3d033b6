#pragma once

#include "libapricot/clock.h"
#include "libnet/httpserver.h"

#include <optional>
#include <string_view>

namespace Apricot {

// Why the gateway responds to a request itself instead of forwarding a server's response.
enum class GatewayRefusal {
    // The request did not run and never will.
    NotReady,
    // The known configuration does not allow it, but a newer one may.
    OutdatedConfig,
    Overloaded,
    NoServer,
    OutOfTime,
    // All servers that could run the request named limits, which are used up.
    Limited,
    // All servers asked for rest.
    Resting,
    // Earlier attempts of the same request crashed servers.
    Poisoned,
    // Which software version began the stream that is to be resumed is not known.
    UnknownOrigin,
    // No server of the version that began the stream may receive work.
    VersionUnavailable,
    // A retry will be refused too.
    UnknownRoute,
    // A stage has more pieces than any request may have.
    TooManyPieces,
    UnknownKey,
    // The request may have run.
    ServerFailed,
    TimedOut,
};

std::string_view refusalName(GatewayRefusal reason);
// HTTP status of a refusal. 503 states that the request did not run and never will; 502 and 504 leave
// that open.
int refusalStatus(GatewayRefusal reason);

// Responds to a request with a refusal, and with Retry-After if a retry can succeed.
boost::asio::awaitable<void> refuse(HttpExchange& exchange, GatewayRefusal reason,
    std::optional<Milliseconds> retryAfter = std::nullopt);

}
