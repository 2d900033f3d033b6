#pragma once

#include "dispatch/claimgateway.h"
#include "dispatch/claimstore.h"
#include "dispatch/peerlink.h"
#include "libapricot/controlview.h"
#include "libapricot/keyvalidity.h"
#include "libnet/asyncevent.h"

#include <boost/json/value.hpp>

#include <map>
#include <memory>

namespace Apricot {

struct ClaimServiceOptions {
    // Minimum time between two writes of one claim object.
    Milliseconds writeInterval { 50 };
    // How long the platform is considered unavailable after a failed call.
    Milliseconds unavailableDuration { 1000 };
};

// Claims keys of non-idempotent stages. For coordinators it sends each claim to the claim home of the
// key's partition; as claim home it batches the claims of each object into conditional writes. Two
// claim homes at the same time are safe, as the platform accepts only one write for each version.
class ClaimService : public ClaimGateway {
public:
    ClaimService(boost::asio::io_context& context, const ControlViewSource& views, PeerLink& peers,
        ClaimStore& store, ClaimServiceOptions options = {});

    boost::asio::awaitable<ClaimResponse> claim(ClaimAction action, Milliseconds budget) override;
    bool isUnavailable() const override;
    // Handles a coordinator's claim as claim home.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, ClaimMessage message);
    // Deletes the claim objects of one past hour, whose keys have all expired. Must be called once
    // an hour.
    boost::asio::awaitable<void> removeExpired();
    boost::json::value dump() const;

private:
    // The claims of one claim object, and the responses that callers wait for.
    struct ObjectState {
        explicit ObjectState(boost::asio::io_context& context)
            : changed(context.get_executor())
        {
        }

        ClaimBatch batch;
        AsyncEvent changed;
        std::map<std::pair<std::string, std::string>, ClaimResponse> responses;
        bool isWriting = false;
    };

    boost::asio::awaitable<ClaimResponse> claimLocally(ClaimAction action, Milliseconds budget);
    boost::asio::awaitable<void> writeBatches(
        std::string objectKey, std::shared_ptr<ObjectState> object);
    boost::asio::awaitable<void> performStep(
        const std::string& objectKey, ClaimBatch& batch, ClaimStep step);
    std::shared_ptr<ObjectState> findOrCreateObject(const std::string& objectKey);

    boost::asio::io_context& m_context;
    const ControlViewSource& m_views;
    PeerLink& m_peers;
    ClaimStore& m_store;
    ClaimServiceOptions m_options;
    std::map<std::string, std::shared_ptr<ObjectState>> m_objects;
    TimePoint m_unavailableUntil {};
    std::uint64_t m_writes = 0;
    std::uint64_t m_claims = 0;
};

}
