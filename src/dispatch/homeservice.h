#pragma once

#include "libnet/peerstream.h"
#include "replicahome.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace Apricot {

struct HomeServiceOptions {
    // Maximum number of calls queued for one backend server.
    std::size_t queueLimit = 64;
    TakeoverOptions takeover;
    Milliseconds refreshInterval { 50 };
    Milliseconds healthInterval { 250 };
    Milliseconds healthTimeout { 500 };
    // Interval between two release requests to the same predecessor, and the timeout of one.
    Milliseconds releaseInterval { 200 };
    Milliseconds releaseTimeout { 1000 };
    // Maximum time that a graceful shutdown waits for other members to become homes of the replicas.
    Milliseconds handoverTimeout { 3000 };
};

// The part of a dispatch daemon that acts as home of replicas: every call of a backend server passes
// through its home. Runs on one thread; must outlive the io_context's run().
class HomeService {
public:
    HomeService(boost::asio::io_context& context, const ControlViewSource& views,
        HomeServiceOptions options = {});
    ~HomeService();

    HomeService(const HomeService&) = delete;
    HomeService& operator=(const HomeService&) = delete;

    // Starts to apply new control views, to poll the health of backend servers, and to take over from
    // predecessors.
    void start();
    // Runs one stage attempt that a coordinator sent over this stream.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, StageCallMessage message);
    // Releases a replica at the request of its new home: this process no longer starts calls for it.
    boost::asio::awaitable<void> serveRelease(
        std::shared_ptr<PeerStream> stream, ReleaseHomeMessage message);
    // Sends an order to a backend server if this process is its home.
    boost::asio::awaitable<OrderResult> sendOrder(BackendServerId server, std::string text);
    // Graceful shutdown: stays home until other processes have become homes, then starts no more calls
    // and returns once none is in flight. The peer port must stay open until then, as new homes take
    // a refused connection to mean that this process has exited.
    boost::asio::awaitable<void> drain();
    // Epoch that the homes have applied, and the servers with calls of this process in flight.
    ObjectVersion appliedEpoch() const { return m_appliedEpoch; }
    std::vector<BackendServerId> busyServers() const;
    // State dump of every replica.
    boost::json::value dump() const;

private:
    using Timer = boost::asio::basic_waitable_timer<RuntimeClock>;

    boost::asio::awaitable<void> followViews();
    boost::asio::awaitable<void> pollHealth(std::shared_ptr<ReplicaHome> home);
    boost::asio::awaitable<void> takeOver(std::shared_ptr<ReplicaHome> home);
    boost::asio::awaitable<void> requestRelease(ReplicaHome& home, Predecessor predecessor);
    boost::asio::awaitable<void> sleep(Milliseconds time);

    void refresh();
    void recordEndpoints(const CellState& cell);
    // Home object of a declared server, created if there is none. Nullptr for an unknown server.
    std::shared_ptr<ReplicaHome> findOrCreateHome(const BackendServerId& server);
    void releaseAll();
    bool isHomeOfAny() const;
    int inFlight() const;

    boost::asio::io_context& m_context;
    const ControlViewSource& m_views;
    HomeServiceOptions m_options;
    std::map<BackendServerId, std::shared_ptr<ReplicaHome>> m_homes;
    // Peer endpoint of each process that has ever been a member.
    std::map<Predecessor, PeerEndpoint> m_endpoints;
    // For servers without a home object: assignments older than this version have been released.
    std::map<BackendServerId, ObjectVersion> m_releasedBefore;
    PeerClient m_peers;
    ObjectVersion m_appliedEpoch = 0;
    bool m_isRunning = true;
    bool m_isStopped = false;
};

}
