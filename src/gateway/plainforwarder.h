#pragma once

#include "gateway/backendcaller.h"
#include "gateway/servedoutcome.h"
#include "libserving/retrywindow.h"

#include <set>

namespace Apricot {

// Acquires a permit for one retry of a request, and logs it if there is none.
std::optional<RetryPermit> tryAcquireRetry(RetryWindow& retries, const ServedRequest& request);

// Responds to a caller with a body that was read whole. The memory that it holds is given up if others need it and the
// caller does not read.
boost::asio::awaitable<void> respondWithBody(ServedRequest& request, const HttpStream& stream, ResponseBody& body);

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
