#pragma once

#include "dispatch/configwatcher.h"
#include "dispatch/statuswriter.h"
#include "libapricot/cellmembership.h"
#include "libapricot/controlview.h"

#include <mutex>
#include <set>

namespace Apricot {

// Asks the traffic threads which epoch the homes act on and which servers have calls in flight that
// this process sent as their home.
using HomeReporter = std::function<boost::asio::awaitable<HomeReport>()>;

struct ControlPlaneOptions {
    HostId host;
    FailureDomainId failureDomain;
    std::string cell = "cell-1";
    // Where this daemon listens for its peers.
    PeerEndpoint endpoint;
    PeerEndpoint platform;
    // Times of the membership; the member itself is filled in from the above.
    CellMembershipOptions membership;
    ConfigWatcherOptions config;
    Milliseconds heartbeatInterval { 500 };
    Milliseconds heartbeatTimeout { 1000 };
    // How long a removed daemon waits until it joins again, when there is no home reporter: longer
    // than any attempt of a stage lasts.
    Milliseconds rejoinDelay { 10000 };
    HomeReporter homeReporter;
};

// The control state of a dispatch daemon: membership, evidence and configuration. Everything runs on
// the control thread; only view() may be called on others. Must outlive the io_context's run().
class ControlPlane : public ControlViewSource {
public:
    ControlPlane(boost::asio::io_context& context, ControlPlaneOptions options);

    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    // Joins the cell and begins to follow the platform.
    void start();
    std::shared_ptr<const ControlView> view() const override;
    // Answers a control question of a peer or of the entry daemon; nothing if it is none.
    boost::asio::awaitable<std::optional<Message>> respondTo(Message request);
    // Begins a graceful stop: takes no new replicas and gives its own away.
    void beginLeaving();
    // Removes this daemon from the cell, once it holds no replica any more. Returns when the cell
    // has dropped it, or after the time given.
    boost::asio::awaitable<void> finishLeaving(Milliseconds timeout);
    boost::json::value dump() const;

private:
    boost::asio::awaitable<void> maintainMembership();
    boost::asio::awaitable<void> sendHeartbeats();
    boost::asio::awaitable<void> sendHeartbeat(Member peer);
    boost::asio::awaitable<void> readCell();
    boost::asio::awaitable<void> writeCell(WriteCell write);
    boost::asio::awaitable<CellWriteOutcome> putCell(WriteCell write);
    boost::asio::awaitable<ViewResponseMessage> respondToView(ViewRequestMessage request);

    ViewResponseMessage makeViewResponse(const ViewRequestMessage& request) const;
    bool isWatcher() const;
    void rejoinAfterRemoval();
    void applyConfig();
    void publish();
    void logChanges(const ControlView& before, const ControlView& after) const;

    boost::asio::io_context& m_context;
    ControlPlaneOptions m_options;
    PlatformClient m_platform;
    PeerClient m_peers;
    CellMembership m_membership;
    ConfigWatcher m_config;
    StatusWriter m_status;
    std::set<ProcessId> m_pendingHeartbeats;
    HomeReport m_homeReport;
    std::optional<TimePoint> m_removedAt;
    // Epoch in which this daemon learned of its removal.
    ObjectVersion m_removedEpoch = 0;
    bool m_isStopping = false;
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const ControlView> m_view;
};

}
