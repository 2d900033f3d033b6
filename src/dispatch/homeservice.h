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
    // Calls that may wait in front of one backend server.
    std::size_t queueLimit = 64;
    TakeoverOptions takeover;
    Milliseconds refreshInterval { 50 };
    Milliseconds healthInterval { 250 };
    Milliseconds healthTimeout { 500 };
    // Pause between two questions to the same predecessor, and the wait for its answer.
    Milliseconds releaseInterval { 200 };
    Milliseconds releaseTimeout { 1000 };
    // Longest time for which a graceful shutdown leaves the replicas' next homes to be found.
    Milliseconds handoverTimeout { 3000 };
};

// The part of a dispatch daemon that is home of replicas: every call of a backend server passes
// through its home. Runs on one thread; must outlive the io_context's run().
class HomeService {
public:
    HomeService(boost::asio::io_context& context, const ControlViewSource& views,
        HomeServiceOptions options = {});
    ~HomeService();

    HomeService(const HomeService&) = delete;
    HomeService& operator=(const HomeService&) = delete;

    // Begins to follow the control snapshots, to poll health, and to take over from predecessors.
    void start();
    // Runs one attempt of a stage, which a coordinator sent over this stream.
    boost::asio::awaitable<void> serve(
        std::shared_ptr<PeerStream> stream, StageCallMessage message);
    // Answers a new home of a replica: this process has stopped starting its work.
    boost::asio::awaitable<void> serveRelease(
        std::shared_ptr<PeerStream> stream, ReleaseHomeMessage message);
    // Gives a backend server an order, if this process is its home.
    boost::asio::awaitable<OrderResult> sendOrder(BackendServerId server, std::string text);
    // Graceful shutdown: goes on as home until other processes are, then starts nothing more, and
    // returns once nothing of this process is in flight. The peer port has to stay open until then,
    // because a refused connection tells new homes that this process is gone.
    boost::asio::awaitable<void> drain();
    // Epoch that the homes act on, and the servers with calls of this process in flight.
    ObjectVersion appliedEpoch() const { return m_appliedEpoch; }
    std::vector<BackendServerId> busyServers() const;
    // State of every replica.
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
    // Home of a declared server; creates it when there is none. Nullptr for an unknown server.
    std::shared_ptr<ReplicaHome> findOrCreateHome(const BackendServerId& server);
    void releaseAll();
    bool isHomeOfAny() const;
    int inFlight() const;

    boost::asio::io_context& m_context;
    const ControlViewSource& m_views;
    HomeServiceOptions m_options;
    std::map<BackendServerId, std::shared_ptr<ReplicaHome>> m_homes;
    // Where each process listens that was ever seen as a member.
    std::map<Predecessor, PeerEndpoint> m_endpoints;
    // Assignments older than this are given up, for servers that no home was made for.
    std::map<BackendServerId, ObjectVersion> m_releasedSince;
    PeerClient m_peers;
    ObjectVersion m_appliedEpoch = 0;
    bool m_isRunning = true;
    bool m_isStopped = false;
};

}
