#pragma once

#include "dispatch/requestrunner.h"

#include <boost/json/value.hpp>

namespace Apricot {

// Serves the requests whose key ranks this host first: opens or finds the record of each and runs
// it. Passes the others on to their home. Works on one traffic thread.
class Coordinator {
public:
    explicit Coordinator(RunnerServices services);

    // Serves one caller of a request to its end.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, SubmitMessage submit);
    // Serves a caller that another host has passed on. It is never passed on again.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, RelayedSubmitMessage relayed);
    // Takes over another member's finding.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, PoisonMessage message);

    // Takes in the membership and drops records that have been kept long enough. To be called at
    // least once a second, from the process's start on.
    void maintain();
    // Returns once no request is in flight. New ones are refused as soon as the snapshot says that
    // the process is stopping.
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
    // Whether the other host answered the caller, or the caller has gone.
    boost::asio::awaitable<bool> relayToHost(
        std::shared_ptr<PeerStream> stream, SubmitMessage& submit, const HostId& host);
    boost::asio::awaitable<void> refuse(
        std::shared_ptr<PeerStream> stream, const SubmitMessage& submit, Refusal refusal);
    // Why a new request can't be taken at this moment.
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
