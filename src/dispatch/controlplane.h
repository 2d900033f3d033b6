#pragma once

#include "dispatch/configwatcher.h"
#include "dispatch/statuswriter.h"
#include "libapricot/cellmembership.h"
#include "libapricot/controlview.h"

#include <mutex>
#include <set>

namespace Apricot {

// Queries the traffic threads for the epoch that the homes have applied, and for the servers with
// calls in flight that this process sent as their home.
using HomeReporter = std::function<boost::asio::awaitable<HomeReport>()>;

struct ControlPlaneOptions {
    HostId host;
    FailureDomainId failureDomain;
    std::string cell = "cell-1";
    // Address and port on which this daemon accepts peer connections.
    PeerEndpoint endpoint;
    PeerEndpoint platform;
    // Timing of the membership. Its member `self` is set from the fields above.
    CellMembershipOptions membership;
    ConfigWatcherOptions config;
    Milliseconds heartbeatInterval { 500 };
    Milliseconds heartbeatTimeout { 1000 };
    // Delay before a removed daemon rejoins if there is no home reporter. Must exceed the duration of
    // the longest stage attempt.
    Milliseconds rejoinDelay { 10000 };
    HomeReporter homeReporter;
};

// The control state of a dispatch daemon: membership, evidence and configuration. All methods run
// on the control thread, except view(), which may be called on any thread. Must outlive the
// io_context's run().
class ControlPlane : public ControlViewSource {
public:
    ControlPlane(boost::asio::io_context& context, ControlPlaneOptions options);

    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    // Joins the cell and starts to watch the platform.
    void start();
    std::shared_ptr<const ControlView> view() const override;
    // Response to a control request of a peer or of an entry daemon, or nullopt if the message is no
    // control request.
    boost::asio::awaitable<std::optional<Message>> respondTo(Message request);
    // Begins a graceful shutdown: accepts no new replicas and hands over its own.
    void beginLeaving();
    // Removes this daemon from the cell once it is home of no replica. Returns when the cell no longer
    // lists it as a member, or after the timeout.
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
    // Epoch in which this daemon saw its removal.
    ObjectVersion m_removedEpoch = 0;
    bool m_isStopping = false;
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const ControlView> m_view;
};

}
