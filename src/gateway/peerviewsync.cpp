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

    // Time between two polls without news.
    constexpr Milliseconds pollInterval { 350 };
    // Time from news to the next poll.
    constexpr Milliseconds minPollInterval { 100 };
    constexpr Milliseconds pollTimeout { 300 };
    // Longest time for which a parent waits for news before it responds to a poll. Longer than the time between two
    // responses of the store to a watching host.
    constexpr Milliseconds maxWait { 1200 };
    // Kinds of objects that are confirmed at about the same time go into one response.
    constexpr Milliseconds gatherTime { 30 };
    // As fractions of the maximum age of relayed state: the wait of a watch by hosts that watch on behalf of others, the
    // gain in age that is worth a response, and the age from which the other parent is polled.
    constexpr double watcherTimeoutFraction = 0.5;
    constexpr double newsFraction = 0.25;
    constexpr double behindFraction = 0.75;
    // Time for which hosts that watch on behalf of others batch changes.
    constexpr Milliseconds watcherBatchDelay { 150 };

    Milliseconds fractionOfMaxAge(const StoreFollower& follower, double fraction)
    {
        return std::chrono::duration_cast<Milliseconds>(fraction * follower.options().maxRelayedAge);
    }

    // Time that a request and its response spent between this host and the peer. What the peer said of ages is older by
    // this time at most. The time for which earlier builds held a request is not known.
    Milliseconds timeOnTheWay(const PeerDeltas::Entry& entry, Duration callTime)
    {
        if (!entry.heldFor)
            return Milliseconds(0);
        return std::max(std::chrono::ceil<Milliseconds>(callTime) - *entry.heldFor, Milliseconds(0));
    }

    // What a peer knows of a follower's objects, or null if it does not ask for them or this host cannot relay them: it
    // has none, or has only listed objects that may be outdated.
    const ViewRequest::Entry* findRelayable(const ViewRequest& request, const StoreFollower& follower)
    {
        const auto entry = request.entries.find(follower.prefix());
        const bool isKnown = follower.revision() > 0 && follower.isConfirmed();
        return isKnown && entry != request.entries.end() ? &entry->second : nullptr;
    }

}

PeerViewSync::PeerViewSync(Asio::io_context& context, ServingViewUpdater& viewUpdater, ServingView& view,
    PeerClient& peers, HostId self, std::vector<Endpoint> seeds)
    : m_context(context)
    , m_viewUpdater(viewUpdater)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_pollTimer(context)
{
}

void PeerViewSync::start()
{
    Asio::co_spawn(m_context, pollPeers(), Asio::detached);
}

void PeerViewSync::onHostsChanged()
{
    // A host that is not listed yet has the place that it will have.
    std::vector<HostId> hosts = m_view.hostIds();
    if (!m_view.hosts().contains(m_self))
        hosts.push_back(m_self);
    RelayPosition position = findRelayPosition(m_self, std::move(hosts));
    if (position == m_position)
        return;
    m_position = std::move(position);
    m_nextPeer = 0;
    for (StoreFollower* follower : m_viewUpdater.followers()) {
        follower->setRelayDepth(m_position.depth);
        follower->setWatcher(m_position.isWatcher, fractionOfMaxAge(*follower, watcherTimeoutFraction),
            watcherBatchDelay);
    }
    m_pollTimer.cancel();
    writeLog(LogLevel::Info, "relay_position_changed",
        { { "direct", m_position.isDirect }, { "watcher", m_position.isWatcher },
            { "hosts", m_view.hosts().size() } });
}

ViewRequest PeerViewSync::makeRequest() const
{
    const TimePoint now = RuntimeClock::now();
    ViewRequest request { .wait = m_position.isDirect ? Milliseconds(0) : maxWait };
    for (const StoreFollower* follower : m_viewUpdater.followers()) {
        request.entries[follower->prefix()] = { .revision = follower->revision(),
            // Large objects are read from the store while it responds.
            .withObjects = follower->isLost() || follower->revision() == 0
                || !m_viewUpdater.isTooLargeToRelay(*follower),
            .age = std::chrono::floor<Milliseconds>(now - follower->confirmedAt()) };
    }
    return request;
}

std::string PeerViewSync::makeResponse(const ViewRequest& request, TimePoint receivedAt) const
{
    const TimePoint now = RuntimeClock::now();
    json::object response;
    for (const StoreFollower* follower : m_viewUpdater.followers()) {
        const ViewRequest::Entry* entry = findRelayable(request, *follower);
        if (!entry)
            continue;
        const ObjectVersion revision = entry->revision;
        const bool withObjects = follower->revision() > revision && entry->withObjects;
        // Builds that give no age take the age of what they get for their own.
        const bool mayBePartial = withObjects && entry->age != Milliseconds::max();
        const Milliseconds peerAge
            = mayBePartial ? entry->age + std::chrono::ceil<Milliseconds>(now - receivedAt) : entry->age;
        const auto heldFor = std::chrono::floor<Milliseconds>(now - receivedAt);
        response[follower->prefix()] = toJson(mayBePartial ? follower->limitedDeltaSince(revision, peerAge, now)
                                                           : follower->deltaSince(revision, now),
            withObjects, heldFor);
    }
    return json::serialize(response);
}

bool PeerViewSync::hasNewsFor(const ViewRequest& request, TimePoint receivedAt) const
{
    for (const StoreFollower* follower : m_viewUpdater.followers()) {
        const ViewRequest::Entry* entry = findRelayable(request, *follower);
        if (!entry)
            continue;
        if (follower->revision() > entry->revision)
            return true;
        // The peer's age grew since then, as this host's does. A peer that knows nothing has no bound of its age.
        const auto ownAge = std::chrono::ceil<Milliseconds>(receivedAt - follower->confirmedAt());
        if (follower->revision() == entry->revision
            && ownAge + fractionOfMaxAge(*follower, newsFraction) <= entry->age)
            return true;
    }
    return false;
}

Asio::awaitable<std::string> PeerViewSync::respondTo(std::string text)
{
    const ViewRequest request = readViewRequest(text);
    const TimePoint receivedAt = RuntimeClock::now();
    const TimePoint respondsAt = receivedAt + std::min(request.wait, maxWait);
    bool hasWaited = false;
    while (!m_isStopping && RuntimeClock::now() < respondsAt && !hasNewsFor(request, receivedAt)) {
        co_await waitForNews(respondsAt);
        hasWaited = true;
    }
    if (hasWaited && !m_isStopping)
        co_await sleepFor(m_context.get_executor(), gatherTime);
    co_return makeResponse(request, receivedAt);
}

Asio::awaitable<void> PeerViewSync::waitForNews(TimePoint until)
{
    RuntimeTimer timer(m_context, until);
    const auto entry = m_waits.insert(m_waits.end(), &timer);
    boost::system::error_code ignored;
    co_await timer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    m_waits.erase(entry);
}

void PeerViewSync::onConfirmed()
{
    for (RuntimeTimer* wait : m_waits)
        wait->cancel();
}

void PeerViewSync::stop()
{
    m_isStopping = true;
    onConfirmed();
}

void PeerViewSync::applyResponse(const std::string& response, const std::string& peer, TimePoint sentAt)
{
    const TimePoint now = RuntimeClock::now();
    PeerDeltas deltas = readPeerDeltas(response);
    for (const auto& [prefix, reason] : deltas.rejected)
        writeLog(LogLevel::Warning, "peer_view_rejected",
            { { "kind", prefix }, { "reason", reason }, { "peer", peer } });
    for (StoreFollower* follower : m_viewUpdater.followers()) {
        const auto entry = deltas.entries.find(follower->prefix());
        if (entry == deltas.entries.end())
            continue;
        StoreDelta& delta = entry->second.delta;
        delta.age += timeOnTheWay(entry->second, now - sentAt);
        if (!delta.isPartial)
            m_view.servers().recordPeerEvidence(now - delta.age, now);
        if (!entry->second.hasObjects)
            follower->recordEvidence(delta.revision, delta.age, now);
        else if (follower->applyDelta(delta, now))
            writeLog(LogLevel::Info, "view_updated_from_peer",
                { { "kind", follower->prefix() }, { "revision", follower->revision() },
                    { "age_ms", delta.age.count() }, { "call_ms", millisecondsBetween(sentAt, now) },
                    { "peer", peer } });
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
    if (!m_viewUpdater.isStoreLost() && !m_viewUpdater.isConfigOverdue())
        return peers;
    for (const auto& [id, host] : hosts) {
        if (id != m_self)
            add(host.endpoint);
    }
    for (const Endpoint& seed : m_seeds)
        add(seed);
    return peers;
}

std::vector<std::pair<ObjectVersion, TimePoint>> PeerViewSync::knowledge() const
{
    std::vector<std::pair<ObjectVersion, TimePoint>> known;
    for (const StoreFollower* follower : m_viewUpdater.followers())
        known.emplace_back(follower->revision(), follower->confirmedAt());
    return known;
}

bool PeerViewSync::isBehind() const
{
    const TimePoint now = RuntimeClock::now();
    const auto followers = m_viewUpdater.followers();
    return std::any_of(followers.begin(), followers.end(), [now](const StoreFollower* follower) {
        return now > follower->confirmedAt() + fractionOfMaxAge(*follower, behindFraction);
    });
}

Asio::awaitable<void> PeerViewSync::pollPeers()
{
    while (true) {
        const TimePoint startedAt = RuntimeClock::now();
        const std::vector<Endpoint> peers = peersToPoll();
        bool hasNews = false;
        if (!peers.empty())
            hasNews = co_await pollPeer(peers[m_nextPeer % peers.size()]);
        m_pollTimer.expires_at(startedAt + (hasNews ? minPollInterval : pollInterval));
        boost::system::error_code ignored;
        co_await m_pollTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
    }
}

Asio::awaitable<bool> PeerViewSync::pollPeer(Endpoint peer)
{
    const auto knownBefore = knowledge();
    try {
        co_await requestView(std::move(peer));
    } catch (const std::exception&) {
        // The next peer is polled after the interval; if none responds, the followers read the store.
        ++m_nextPeer;
        co_return false;
    }
    if (m_position.isDirect || isBehind())
        ++m_nextPeer;
    co_return knowledge() != knownBefore;
}

Asio::awaitable<void> PeerViewSync::requestView(Endpoint peer)
{
    const std::string peerName = toText(peer);
    const ViewRequest request = makeRequest();
    const TimePoint sentAt = RuntimeClock::now();
    Message message = TextMessage { topic, toJson(request) };
    const Message response
        = co_await m_peers.call(std::move(peer), std::move(message), request.wait + pollTimeout);
    if (const auto* text = std::get_if<TextMessage>(&response))
        applyResponse(text->json, peerName, sentAt);
}

}
