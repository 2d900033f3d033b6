#pragma once

#include "gateway/gatewaymetrics.h"
#include "gateway/plainforwarder.h"
#include "gateway/streamforwarder.h"
#include "libserving/callerwaitestimator.h"

#include <memory>
#include <vector>

namespace Apricot {

// Serves callers: checks each request against the configuration in force and passes it to the forwarder
// of its kind.
class RequestService {
public:
    RequestService(boost::asio::io_context& context, ServingView& view, PlainForwarder& plainForwarder,
        StreamForwarder& streamForwarder, const PoisonTable& poison, GatewayMetrics& metrics);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);
    // Sets the handler that decides whether refused subjects have a probation run at this host now.
    void setProbationHandler(std::function<bool(const std::vector<PoisonSubject>&)> handler)
    {
        m_probationHandler = std::move(handler);
    }
    // Refuses the requests that have not been sent to a server yet, before this host stops.
    void refuseUnsent();
    // HTTP limits for callers in the current configuration.
    HttpLimits limits() const;

private:
    // What a request was found to be, for logs and metrics.
    struct RequestLabels {
        std::string_view kind = "none";
        // Set once the request has passed the initial checks; see ServedRequest::subjects.
        std::vector<PoisonSubject> subjects;
        // Name of the subject because of which the request was refused on arrival, or empty.
        std::string refusedSubject;
    };

    boost::asio::awaitable<ServedOutcome> checkAndForward(
        HttpExchange& exchange, CallerRequest& caller, RequestLabels& labels);
    // Refuses what the configuration does not allow: for good, unless a newer configuration may allow it.
    boost::asio::awaitable<ServedOutcome> refuseByConfig(HttpExchange& exchange, GatewayRefusal reason);
    boost::asio::awaitable<ServedOutcome> forward(ServedRequest& request);

    boost::asio::io_context& m_context;
    ServingView& m_view;
    PlainForwarder& m_plainForwarder;
    StreamForwarder& m_streamForwarder;
    const PoisonTable& m_poison;
    std::function<bool(const std::vector<PoisonSubject>&)> m_probationHandler;
    GatewayMetrics& m_metrics;
    CallerWaitEstimator m_waitEstimator;
    // Scopes of the requests in flight.
    std::vector<std::weak_ptr<RequestScope>> m_scopes;
};

}
