#include "gateway/peerviewsync.h"

#include "gateway/storedeltajson.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds pollInterval { 350 };
    constexpr Milliseconds pollTimeout { 300 };
    // For hosts that watch on behalf of others: the wait of a watch as a fraction of the maximum age of
    // relayed state, and the time for which changes are batched.
    constexpr double watcherTimeoutFraction = 0.33;
    constexpr Milliseconds watcherBatchDelay { 150 };

}

PeerViewSync::PeerViewSync(Asio::io_context& context, ServingViewUpdater& viewUpdater, ServingView& view,
    PeerClient& peers, HostId self, std::vector<Endpoint> seeds)
    : m_context(context)
    , m_viewUpdater(viewUpdater)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
}

void PeerViewSync::start()
{
    Asio::co_spawn(m_context, pollPeers(), Asio::detached);
}

void PeerViewSync::onHostsChanged()
{
    RelayPosition position = findRelayPosition(m_self, m_view.hostIds());
    if (position == m_position)
        return;
    m_position = std::move(position);
    for (StoreFollower* follower : m_viewUpdater.followers()) {
        follower->setRelayed(!m_position.isDirect);
        const auto watchTimeout = std::chrono::duration_cast<Milliseconds>(
            watcherTimeoutFraction * follower->options().maxRelayedAge);
        follower->setWatcher(m_position.isWatcher, watchTimeout, watcherBatchDelay);
    }
    writeLog(LogLevel::Info, "relay_position_changed",
        { { "direct", m_position.isDirect }, { "watcher", m_position.isWatcher },
            { "hosts", m_view.hosts().size() } });
}

std::string PeerViewSync::makeRequest() const
{
    json::object prefixes;
    for (const StoreFollower* follower : m_viewUpdater.followers()) {
        json::object entry { { "revision", follower->revision() } };
        // Large objects are read from the store while it responds.
        entry["objects"] = follower->isLost() || follower->revision() == 0
            || !m_viewUpdater.isTooLargeToRelay(*follower);
        prefixes[follower->prefix()] = std::move(entry);
    }
    return json::serialize(prefixes);
}

std::string PeerViewSync::respondTo(const std::string& request) const
{
    const json::value prefixes = json::parse(request);
    json::object response;
    for (const StoreFollower* follower : m_viewUpdater.followers()) {
        const json::value* entry = prefixes.as_object().if_contains(follower->prefix());
        if (!entry || follower->revision() == 0)
            continue;
        const auto revision = entry->at("revision").to_number<ObjectVersion>();
        const bool withObjects
            = follower->revision() > revision && entry->at("objects").as_bool();
        response[follower->prefix()]
            = toJson(follower->deltaSince(revision, RuntimeClock::now()), withObjects);
    }
    return json::serialize(response);
}

void PeerViewSync::applyResponse(const std::string& response, const std::string& peer)
{
    const TimePoint now = RuntimeClock::now();
    const PeerDeltas deltas = readPeerDeltas(response);
    for (const auto& [prefix, reason] : deltas.rejected)
        writeLog(LogLevel::Warning, "peer_view_rejected",
            { { "kind", prefix }, { "reason", reason }, { "peer", peer } });
    for (StoreFollower* follower : m_viewUpdater.followers()) {
        const auto entry = deltas.entries.find(follower->prefix());
        if (entry == deltas.entries.end())
            continue;
        const StoreDelta& delta = entry->second.delta;
        m_view.servers().recordPeerEvidence(now - delta.age, now);
        if (!entry->second.hasObjects)
            follower->recordEvidence(delta.revision, delta.age, now);
        else if (follower->applyDelta(delta, now))
            writeLog(LogLevel::Info, "view_updated_from_peer",
                { { "kind", follower->prefix() }, { "revision", follower->revision() },
                    { "age_ms", delta.age.count() }, { "peer", peer } });
    }
}

std::vector<Endpoint> PeerViewSync::peersToPoll() const
{
    std::vector<Endpoint> peers;
    const auto add = [&peers](const Endpoint& endpoint) {
        if (std::find(peers.begin(), peers.end(), endpoint) == peers.end())
            peers.push_back(endpoint);
    };
    const auto& hosts = m_view.hosts();
    if (!m_position.isDirect) {
        for (const HostId& parent : m_position.parents) {
            const auto host = hosts.find(parent);
            if (host != hosts.end())
                add(host->second.endpoint);
        }
        return peers;
    }
    if (!m_viewUpdater.isStoreLost())
        return peers;
    for (const auto& [id, host] : hosts) {
        if (id != m_self)
            add(host.endpoint);
    }
    for (const Endpoint& seed : m_seeds)
        add(seed);
    return peers;
}

Asio::awaitable<void> PeerViewSync::pollPeers()
{
    while (true) {
        co_await sleepFor(m_context.get_executor(), pollInterval);
        const std::vector<Endpoint> peers = peersToPoll();
        if (peers.empty())
            continue;
        Endpoint peer = peers[m_nextPeer++ % peers.size()];
        try {
            co_await requestView(std::move(peer));
        } catch (const std::exception&) {
            // The next peer is polled after the interval; if none responds, the followers read the store.
        }
    }
}

Asio::awaitable<void> PeerViewSync::requestView(Endpoint peer)
{
    const std::string peerName = toText(peer);
    Message message = TextMessage { topic, makeRequest() };
    const Message response = co_await m_peers.call(std::move(peer), std::move(message), pollTimeout);
    if (const auto* text = std::get_if<TextMessage>(&response))
        applyResponse(text->json, peerName);
}

}
