#pragma once

#include "gateway/backendcaller.h"
#include "gateway/refusals.h"
#include "libserving/retrywindow.h"

#include <set>

namespace Apricot {

// How a request ended, for logs and metrics.
struct ServedEnd {
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
    PlainForwarder(ServingView& view, BackendCaller& caller, RetryWindow& retries);

    boost::asio::awaitable<ServedEnd> serve(ServedRequest& request);

private:
    // Chooses the server that costs least, of those not tried for this request.
    const KnownServer* choose(const ServedRequest& request, const std::set<BackendServerId>& tried);
    Milliseconds patienceFor(const ServedRequest& request, int runs) const;
    boost::asio::awaitable<ServedEnd> answer(ServedRequest& request, HttpStream& stream);

    ServingView& m_view;
    BackendCaller& m_caller;
    RetryWindow& m_retries;
};

}
