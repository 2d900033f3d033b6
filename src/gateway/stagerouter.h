#pragma once

#include "gateway/stagehome.h"
#include "libnet/peerstream.h"

#include <array>
#include <set>

namespace Apricot {

// Results of one stage, and where they can be released.
struct StageResults {
    int stage = 0;
    PoolId pool;
    int group = 0;
    HostId home;
    std::vector<std::string> handles;
    // Where most of them lie, and their size together.
    FailureDomainId domain;
    double bytes = 0;
};

// Brings stages of requests to the home of their group of servers. All hosts agree on the home by
// rendezvous hashing; one that does not answer is passed over for a while, and pieces may be made
// again, so no agreement is needed when hosts differ.
class StageRouter {
public:
    StageRouter(boost::asio::io_context& context, HostId self, ServingView& view, StageHome& home,
        PeerClient& peers);

    // Groups of a pool's servers that a request's identity draws: one near a failure domain, which may be
    // empty, and any.
    std::array<int, 2> pickGroups(
        const PoolId& pool, const std::string& requestId, const FailureDomainId& domain) const;
    // Runs one stage; sets the host that ran it.
    boost::asio::awaitable<StageWorkResult> run(
        StageWork work, std::shared_ptr<HttpCancel> cancel, HostId& ranOnHost);
    // How long new work of a rank waits at a group, by what its home last said.
    Milliseconds expectedWait(const PoolId& pool, int group, int rank) const;
    // Releases results in the background.
    void release(const StageResults& results);
    // Serves the question of a peer.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, StageWork work);

private:
    std::vector<HostId> candidateHomes(const PoolId& pool, int group) const;
    boost::asio::awaitable<StageWorkResult> runAtHome(
        StageWork work, std::shared_ptr<HttpCancel> cancel, HostId& ranOnHost);
    boost::asio::awaitable<std::optional<StageWorkResult>> runAtPeer(
        HostId host, StageWork work, std::shared_ptr<HttpCancel> cancel);
    boost::asio::awaitable<void> sendRelease(Endpoint endpoint, StageResults results);

    boost::asio::io_context& m_context;
    HostId m_self;
    ServingView& m_view;
    StageHome& m_home;
    PeerClient& m_peers;
    struct RecordedBacklog {
        std::vector<StageBacklog> backlog;
        TimePoint recordedAt {};
    };

    std::map<HostId, TimePoint> m_avoidedUntil;
    std::map<std::pair<PoolId, int>, RecordedBacklog> m_backlogs;
};

}
