#pragma once

#include "libapricot/configstore.h"
#include "libapricot/controlview.h"
#include "libnet/peerstream.h"

#include <mutex>

namespace Apricot {

struct ControlFollowerOptions {
    HostId host;
    FailureDomainId failureDomain;
    // The dispatch daemon of the same host.
    PeerEndpoint dispatch;
    // Longest time that a request waits for a change; the response then renews the permission.
    Milliseconds wait { 500 };
    Milliseconds timeout { 1500 };
    // Delay after a failed request.
    Milliseconds retryInterval { 200 };
};

// Updates the control snapshot of an entry daemon from the dispatch daemon of its host.
// Must outlive the io_context's run().
class ControlFollower : public ControlViewSource {
public:
    ControlFollower(boost::asio::io_context& context, ControlFollowerOptions options);

    ControlFollower(const ControlFollower&) = delete;
    ControlFollower& operator=(const ControlFollower&) = delete;

    void start();
    std::shared_ptr<const ControlView> view() const override;
    // State dump.
    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<void> updateView();
    void applyResponse(const ViewResponseMessage& response, TimePoint requestedAt);

    boost::asio::io_context& m_context;
    ControlFollowerOptions m_options;
    PeerClient m_peers;
    ConfigStore m_config;
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const ControlView> m_view;
};

}
