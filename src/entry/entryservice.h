#pragma once

#include "entry/responsewriter.h"
#include "libapricot/controlview.h"
#include "libapricot/metrics.h"
#include "libapricot/requestmetrics.h"
#include "libnet/httpserver.h"
#include "libnet/peerstream.h"

#include <boost/json/value.hpp>

#include <atomic>
#include <cstdint>

namespace Apricot {

// Counts of one entry host since its start.
struct EntryCounts {
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> completed { 0 };
    std::atomic<std::uint64_t> refused { 0 };
    std::atomic<std::uint64_t> resumed { 0 };
    std::atomic<std::uint64_t> abandoned { 0 };
};

// Serves callers: checks each request, routes it by its key to the coordinator, and relays the
// answer token by token. When a coordinator is lost, the request goes on at the next one in order.
class EntryService {
public:
    EntryService(
        boost::asio::io_context& context, const ControlViewSource& source, PeerClient& peers, MetricRegistry& metrics);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

    // Makes the health check fail, so that the balancer sends no more callers here.
    void beginShutdown() { m_stopping = true; }
    // Whether the system takes new requests here. May be called on any thread, like the next two.
    bool isReady() const;
    void writeMetrics(MetricRegistry& metrics) const;
    boost::json::value dump() const;

private:
    // A submission on its way from coordinator to coordinator.
    struct RelayState {
        SubmitMessage submission;
        TimePoint startedAt {};
        TimePoint deadline {};
        std::optional<TimePoint> firstToken;
        // Catalogue entry as it stood when the submission came, for the metrics.
        std::shared_ptr<const CatalogueEntry> entry;
        // What the caller is told when no coordinator takes the submission.
        Refusal lastRefusal;

        // Remembers that a coordinator may have begun to run the submission.
        void recordAttempt();
        // How long the caller has waited so far.
        RequestTiming timing(TimePoint now) const;
    };

    boost::asio::awaitable<void> serveHealth(HttpExchange& exchange);
    boost::asio::awaitable<void> serveSubmission(HttpExchange& exchange);
    boost::asio::awaitable<void> relay(
        HttpExchange& exchange, SubmitMessage submission,
        std::shared_ptr<const CatalogueEntry> entry);
    // Runs the submission at one coordinator; returns whether the caller has its final answer.
    boost::asio::awaitable<bool> submitTo(
        const Member& coordinator, RelayState& state, ResponseWriter& writer,
        HttpExchange& exchange);
    boost::asio::awaitable<bool> relayMessages(
        PeerStream& stream, HostId coordinator, RelayState& state, ResponseWriter& writer);

    boost::asio::io_context& m_context;
    const ControlViewSource& m_source;
    PeerClient& m_peers;
    std::atomic<bool> m_stopping { false };
    EntryCounts m_counts;
    RequestMetrics m_requestMetrics;
};

}
