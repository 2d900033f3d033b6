#pragma once

#include "gateway/backendcaller.h"
#include "gateway/refusals.h"

#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace Apricot {

// Outcome of a request, for logs and metrics.
struct ServedOutcome {
    // Status sent to the caller, or zero if the connection ended without a response.
    int status = 0;
    // Name of the refusal, or empty for a response of a backend server.
    std::string_view refusal;
    // Server that the request was last sent to.
    BackendServerId server;
    // Version of its software.
    SoftwareVersion serverVersion;
    // Number of sends that may have reached a server.
    int sends = 0;
    // Servers that were passed over because of their limits.
    std::set<BackendServerId> limited {};
    // Servers that were passed over because they have no room.
    std::set<BackendServerId> full {};
    // Servers that were passed over because they asked for rest.
    std::set<BackendServerId> resting {};
    // Framing of the server's response that was forwarded, if one was.
    std::optional<BodyFraming> framing;
    // Bytes that followed the last complete event of a forwarded stream.
    std::size_t unfinishedBytes = 0;
};

// Whether a server may receive a request now; if not, records in the outcome that it was passed over, and why.
bool checkAvailability(ServerStatements& statements, const ServerEntry& server, ServedOutcome& outcome);

// Why a request is refused, and after what time its caller may be served, if it may at all.
struct RefusalChoice {
    GatewayRefusal reason = GatewayRefusal::ServerFailed;
    std::optional<Milliseconds> retryAfter;
};

// Chooses the refusal of a request that no server ran. The servers are those that could run it; a full one has a free
// place again within the given time.
RefusalChoice refusalWithoutRun(const ServedOutcome& outcome, BackendCaller& backendCaller,
    const std::vector<const KnownServer*>& servers, Milliseconds fullRetryAfter);

// Replaces the refusal of a request that this many servers may have run by one that goes before any other.
RefusalChoice withPrecedingReasons(
    RefusalChoice refusal, const ServedRequest& request, int runs, const PoisonTable& poison);

// Refuses a request, and records that in its outcome.
boost::asio::awaitable<void> refuseWith(ServedRequest& request, ServedOutcome& outcome, RefusalChoice refusal);

}
