#pragma once

#include "gateway/backendcaller.h"
#include "gateway/refusals.h"
#include "libserving/retrywindow.h"

#include <set>

namespace Apricot {

// How a request ended, for logs and metrics.
struct ServedOutcome {
    // Status that the caller got, or zero when the connection ended without an answer.
    int status = 0;
    // Name of the refusal, or empty for an answer of a backend server.
    std::string_view refusal;
    // Server that answered or ran it last.
    BackendServerId server;
    // Sends that may have reached a server.
    int sends = 0;
};

// Serves requests that plain services answer whole. One that is not idempotent is sent once more only
// after a server said that it did not run.
class PlainForwarder {
public:
    PlainForwarder(ServingView& view, BackendCaller& backendCaller, RetryWindow& retries);

    boost::asio::awaitable<ServedOutcome> serve(ServedRequest& request);

private:
    // One request on its way through the servers.
    struct Progress {
        std::set<BackendServerId> tried;
        ServedOutcome outcome;
        // Servers that may have run it, and that could not be reached.
        int runs = 0;
        int unreachable = 0;
        // A repeat was taken from the bound and not used yet.
        bool hasRetryPermit = false;
    };

    // Chooses the server that costs least, of those not tried for this request.
    const KnownServer* chooseServer(const ServedRequest& request, const Progress& progress);
    // The server to send to now, or nothing when the request may be sent no more.
    const KnownServer* nextServer(const ServedRequest& request, Progress& progress);
    bool ensureRetryPermit(const ServedRequest& request, Progress& progress);
    // Sends to a server and passes its answer on; true when the request was answered or may run no more.
    boost::asio::awaitable<bool> trySend(
        ServedRequest& request, Progress& progress, ServerEntry server);
    boost::asio::awaitable<void> respondWithRefusal(ServedRequest& request, Progress& progress);
    Milliseconds attemptTimeoutFor(const ServedRequest& request, int runs) const;
    boost::asio::awaitable<ServedOutcome> forwardResponse(ServedRequest& request, HttpStream& stream);

    ServingView& m_view;
    BackendCaller& m_backendCaller;
    RetryWindow& m_retries;
};

}
