#pragma once

#include "dispatch/requestrunner.h"

#include <boost/json/value.hpp>

namespace Apricot {

// Serves the requests whose keys rank this host first: opens or finds the record of each and runs it.
// Relays other requests to their home. Runs on one traffic thread.
class Coordinator {
public:
    explicit Coordinator(RunnerServices services);

    // Serves one caller of a request until the final message has been sent or the caller disconnects.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, SubmitMessage submit);
    // Serves a caller whose submission another host has relayed. It is never relayed again.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, RelayedSubmitMessage relayed);
    // Applies a poison notice from another member.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, PoisonMessage message);

    // Observes the membership and evicts records whose retention time has passed. Must be called at
    // least once a second from the start of the process.
    void maintain();
    // Returns once no request is in flight. New requests are refused as soon as the control view
    // marks the process as stopping.
    boost::asio::awaitable<void> drain();
    std::size_t callersInFlight() const { return m_callers; }
    boost::json::value dump() const;

private:
    enum class SubmissionSource {
        Caller,
        Relay,
    };

    boost::asio::awaitable<void> serveSubmit(
        std::shared_ptr<PeerStream> stream, SubmitMessage submit, SubmissionSource source);
    boost::asio::awaitable<void> run(std::shared_ptr<PeerStream> stream, SubmitMessage submit,
        const CatalogueEntry& entry, TimePoint deadline, SubmissionSource source);
    boost::asio::awaitable<void> relay(
        std::shared_ptr<PeerStream> stream, SubmitMessage submit, HostId host);
    // Returns whether the other host sent the caller a final message, or the caller disconnected.
    boost::asio::awaitable<bool> relayToHost(
        std::shared_ptr<PeerStream> stream, SubmitMessage& submit, const HostId& host);
    boost::asio::awaitable<void> refuse(
        std::shared_ptr<PeerStream> stream, const SubmitMessage& submit, Refusal refusal);
    // Refusal of a new request while this host can't accept any, or nullopt.
    std::optional<Refusal> checkNewRequest(const ControlView& view) const;
    std::shared_ptr<RequestRunner> findOrCreateRunner(const std::shared_ptr<RequestRecord>& record);
    bool isActive(const RequestKey& key) const;
    std::size_t runningRecords() const;

    RunnerServices m_services;
    std::unordered_map<RequestKey, std::weak_ptr<RequestRunner>> m_runners;
    std::size_t m_callers = 0;
    std::uint64_t m_served = 0;
    std::uint64_t m_relayed = 0;
    std::map<RefusalReason, std::uint64_t> m_refused;
    ObjectVersion m_observedEpoch = 0;
    TimePoint m_observedAt {};
    TimePoint m_evictedAt {};
};

}
