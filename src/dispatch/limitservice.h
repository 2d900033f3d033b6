#pragma once

#include "libapricot/controlview.h"
#include "libapricot/ownerlimiter.h"
#include "libapricot/shareledger.h"
#include "libnet/peerstream.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <set>

namespace Apricot {

struct LimitServiceOptions {
    OwnerShareOptions shares;
    // Interval between two requests for shares, and the timeout of one.
    Milliseconds refreshInterval { 250 };
    Milliseconds responseTimeout { 1000 };
};

// Applies the owners' limits in a dispatch daemon: admits requests within this host's shares, requests
// new shares in the background, and grants shares as home of the owners that rank this host first.
// Runs on one thread, that of the coordinator; must outlive the io_context's run().
class LimitService {
public:
    LimitService(boost::asio::io_context& context, const ControlViewSource& views,
        LimitServiceOptions options = {});

    LimitService(const LimitService&) = delete;
    LimitService& operator=(const LimitService&) = delete;

    // Starts to request shares.
    void start();
    // Stops the background work, so that the io_context can run out of work.
    void stop();

    // Admits a request of the owner and counts it, or returns why it is refused. Never waits.
    std::optional<Refusal> admit(
        const OwnerId& owner, const OwnerLimits& limits, int expectedTokens, TimePoint now);
    // Records the end of an admitted request and the number of tokens that it actually used.
    void onRequestFinished(const OwnerId& owner, int tokens, TimePoint now);

    // Handles a host's request for shares on the stream that it opened.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, ShareRequestMessage message);
    // State dump: shares in force of the owners with recent requests.
    boost::json::value dump(TimePoint now) const;

private:
    using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

    boost::asio::awaitable<void> refresh();
    boost::asio::awaitable<void> requestShare(PeerEndpoint home, ShareRequest request);
    void requestShares(const ControlView& view, TimePoint now);

    boost::asio::io_context& m_context;
    const ControlViewSource& m_views;
    LimitServiceOptions m_options;
    OwnerLimiter m_limiter;
    ShareLedger m_ledger;
    PeerClient m_peers;
    Timer m_timer;
    // Homes with a request in flight. Each has at most one.
    std::set<HostId> m_pendingHomes;
    bool m_isRunning = false;
};

}
