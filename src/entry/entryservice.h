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

// Request counts of one entry host since its start.
struct EntryCounts {
    std::atomic<std::uint64_t> received { 0 };
    std::atomic<std::uint64_t> completed { 0 };
    std::atomic<std::uint64_t> refused { 0 };
    std::atomic<std::uint64_t> resumed { 0 };
    std::atomic<std::uint64_t> abandoned { 0 };
};

// Serves callers: checks each request, routes it by its key to the coordinator, and relays the
// response token by token. If a coordinator fails, the request resumes at the one with the next rank.
class EntryService {
public:
    EntryService(
        boost::asio::io_context& context, const ControlViewSource& source, PeerClient& peers, MetricRegistry& metrics);

    boost::asio::awaitable<void> serve(HttpExchange& exchange);

    // Makes the health check fail, so that the load balancer sends no more callers to this host.
    void beginShutdown() { m_stopping = true; }
    // Whether new requests are accepted here. Thread-safe, like writeMetrics() and dump().
    bool isReady() const;
    void writeMetrics(MetricRegistry& metrics) const;
    boost::json::value dump() const;

private:
    // A submission and its progress, kept while coordinators are tried in turn.
    struct RelayState {
        SubmitMessage submission;
        TimePoint startedAt {};
        TimePoint deadline {};
        std::optional<TimePoint> firstToken;
        // Catalogue entry at the time the submission arrived, for the metrics.
        std::shared_ptr<const CatalogueEntry> entry;
        // Refusal sent to the caller if no coordinator accepts the submission.
        Refusal lastRefusal;

        // Records that a coordinator may have started to run the submission.
        void recordAttempt();
        // Times since the submission arrived, for the metrics.
        RequestTiming timing(TimePoint now) const;
    };

    boost::asio::awaitable<void> serveHealth(HttpExchange& exchange);
    boost::asio::awaitable<void> serveSubmission(HttpExchange& exchange);
    boost::asio::awaitable<void> relay(
        HttpExchange& exchange, SubmitMessage submission,
        std::shared_ptr<const CatalogueEntry> entry);
    // Submits to one coordinator and relays its messages. Returns whether the caller has received the
    // final one.
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
