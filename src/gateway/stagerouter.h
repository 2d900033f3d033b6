#pragma once

#include "gateway/stagehome.h"
#include "libnet/peerstream.h"

#include <array>
#include <set>

namespace Apricot {

// Results of one stage, and the home at which they can be released.
struct StageResults {
    int stage = 0;
    PoolId pool;
    int group = 0;
    HostId home;
    std::vector<std::string> handles;
    // Failure domain that holds most of them, and their total size.
    FailureDomainId domain;
    double bytes = 0;
};

// Sends stages of requests to the home of their group of servers. All hosts determine the home by
// rendezvous hashing; a home that does not respond is avoided for a while. Pieces may run more than once,
// so hosts that disagree about a home need not coordinate.
class StageRouter {
public:
    StageRouter(boost::asio::io_context& context, HostId self, ServingView& view, StageHome& home,
        PeerClient& peers);

    // Picks two groups of a pool's servers by the request ID: one near a failure domain, which may be
    // empty, and one anywhere.
    std::array<int, 2> pickGroups(
        const PoolId& pool, const std::string& requestId, const FailureDomainId& domain) const;
    // Runs one stage, and sets ranOnHost to the host that ran it.
    boost::asio::awaitable<StageWorkResult> run(
        StageWork work, std::shared_ptr<HttpCancel> cancel, HostId& ranOnHost);
    // Expected wait of new work of a rank at a group, by the backlog that its home last reported.
    Milliseconds expectedWait(const PoolId& pool, int group, int rank) const;
    // Releases results in the background.
    void release(const StageResults& results);
    // Runs a stage for a peer and sends it the result.
    boost::asio::awaitable<void> serve(std::shared_ptr<PeerStream> stream, StageWork work);

private:
    // All hosts in their order for a group.
    const std::vector<HostId>& rankedHomes(const PoolId& pool, int group);
    // Hosts to send work of a group to, those that are avoided last.
    std::vector<HostId> candidateHomes(const PoolId& pool, int group);
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
    // Orders of the groups that were asked for since the hosts last changed.
    std::map<std::pair<PoolId, int>, std::vector<HostId>> m_rankedHomes;
    std::uint64_t m_rankedGeneration = 0;
    std::map<std::pair<PoolId, int>, RecordedBacklog> m_backlogs;
};

}
