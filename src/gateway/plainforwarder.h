#pragma once

#include "gateway/backendcaller.h"
#include "gateway/refusals.h"
#include "libserving/retrywindow.h"

#include <set>

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

// Why a request that no server ran is refused, and after what time its caller may be served.
struct RefusalWithoutRun {
    GatewayRefusal reason = GatewayRefusal::NoServer;
    Milliseconds retryAfter { 0 };
};

// Chooses the refusal of a request that no server ran. The servers are those that could run it; a full one has a free
// place again within the given time.
RefusalWithoutRun refusalWithoutRun(const ServedOutcome& outcome, BackendCaller& backendCaller,
    const std::vector<const KnownServer*>& servers, Milliseconds fullRetryAfter);

// Acquires a permit for one retry of a request, and logs it if there is none.
std::optional<RetryPermit> tryAcquireRetry(RetryWindow& retries, const ServedRequest& request);

// Forwards requests to pools that respond with a complete body instead of a stream. A request that is not
// idempotent is retried only after a server stated that it did not run the request.
class PlainForwarder {
public:
    PlainForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries,
        const PoisonTable& poison);

    boost::asio::awaitable<ServedOutcome> serve(ServedRequest& request);

private:
    // State of a request across its attempts.
    struct Progress {
        std::set<BackendServerId> tried;
        ServedOutcome outcome;
        // Number of servers that may have run the request, and of those that could not be reached.
        int runs = 0;
        int unreachable = 0;
        // Acquired for the next send, and held until it has ended.
        std::optional<RetryPermit> retryPermit;
    };

    // The server with the lowest expected cost among those not tried yet; avoided servers come last.
    const KnownServer* chooseServer(const ServedRequest& request, Progress& progress);
    // The server for the next attempt, or nothing if the request must not be sent again.
    const KnownServer* nextServer(const ServedRequest& request, Progress& progress);
    bool ensureRetryPermit(const ServedRequest& request, Progress& progress);
    // Sends the request to a server and forwards the response. Returns true if the caller got the response
    // or the request must not run again.
    boost::asio::awaitable<bool> trySend(
        ServedRequest& request, Progress& progress, ServerEntry server);
    boost::asio::awaitable<void> respondWithRefusal(ServedRequest& request, Progress& progress);
    Milliseconds attemptTimeoutFor(const ServedRequest& request, int runs) const;
    // Forwards a response with its body, or a refusal if the body is incomplete.
    boost::asio::awaitable<ServedOutcome> forwardResponse(
        ServedRequest& request, const HttpStream& stream, std::optional<ResponseBody> body);

    ServingView& m_view;
    BackendCaller& m_backendCaller;
    RetryWindow& m_retries;
    const PoisonTable& m_poison;
};

}
