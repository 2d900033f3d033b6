#include "gateway/storefollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Removals that are remembered for relaying to peers.
    constexpr std::size_t maxRemovals = 1000;
    // Interval of checks whether the follower that probes the store has reached it again.
    constexpr Milliseconds probePollInterval { 150 };

}

StoreFollower::StoreFollower(Asio::io_context& context, PlatformClient& store, StoreProbeState& probeState,
    StoreFollowerOptions options, Handlers handlers)
    : m_context(context)
    , m_store(store)
    , m_probeState(probeState)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_pauseTimer(context)
    , m_retryDelay(m_options.retryDelay)
    , m_watchTimeout(m_options.watchTimeout)
    , m_batchDelay(m_options.batchDelay)
{
}

void StoreFollower::start()
{
    Asio::co_spawn(m_context, follow(), Asio::detached);
}

void StoreFollower::setWatcher(bool isWatcher, Milliseconds watchTimeout, Milliseconds batchDelay)
{
    m_watchTimeout = isWatcher ? watchTimeout : m_options.watchTimeout;
    m_batchDelay = isWatcher ? batchDelay : m_options.batchDelay;
}

Asio::awaitable<void> StoreFollower::follow()
{
    while (true) {
        const TimePoint now = RuntimeClock::now();
        if (canRelyOnPeers(now)) {
            co_await pause(m_evidenceAt + m_options.maxRelayedAge - now);
            continue;
        }
        if (m_probeState.prober && m_probeState.prober != this) {
            co_await pause(probePollInterval);
            continue;
        }
        std::optional<std::string> reason;
        bool isStoreAway = false;
        try {
            co_await readOnce();
        } catch (const PlatformResponseMalformed& error) {
            reason = error.what();
            // A list shows the objects without the history that cannot be read.
            m_mustList = true;
        } catch (const PlatformUnavailable& error) {
            reason = error.what();
            isStoreAway = true;
        } catch (const std::exception& error) {
            reason = error.what();
        }
        if (!reason)
            continue;
        onReadFailed(*reason, isStoreAway);
        co_await pause(m_retryDelay);
        m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
    }
}

bool StoreFollower::canRelyOnPeers(TimePoint now) const
{
    return m_isRelayed && !m_mustList && !m_mustReadStore && now < m_evidenceAt + m_options.maxRelayedAge;
}

Asio::awaitable<void> StoreFollower::pause(Duration time)
{
    m_pauseTimer.expires_after(time);
    boost::system::error_code ignored;
    co_await m_pauseTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> StoreFollower::readOnce()
{
    m_mustReadStore = false;
    if (m_mustList) {
        const PlatformList list = co_await m_store.list(m_options.prefix);
        // Ends an outage before the list is applied, so that entries missing from the list are handled as
        // expired during the outage.
        onStoreResponse();
        reportRejected(list.rejected);
        // The list may be older than a delta that a peer sent while it was read.
        if (list.revision >= m_revision)
            applyList(list);
        m_mustList = false;
        notifyConfirmed();
        co_return;
    }
    const bool isLongPoll = !m_isLost && !m_isRelayed;
    const PlatformWatch watched = co_await m_store.watch(
        m_options.prefix, m_revision, isLongPoll ? m_watchTimeout : Milliseconds(1));
    onStoreResponse();
    if (std::holds_alternative<PlatformHistoryExpired>(watched)) {
        m_mustList = true;
        co_return;
    }
    const auto& events = std::get<PlatformEvents>(watched);
    reportRejected(events.rejected);
    for (const PlatformEvent& event : events.events) {
        applyEvent(event);
        if (!event.value)
            recordRemoval(event.key, events.revision);
    }
    m_revision = std::max(m_revision, events.revision);
    notifyConfirmed();
    if (!events.events.empty())
        co_await pause(m_batchDelay);
}

StoreDelta StoreFollower::deltaSince(ObjectVersion revision, TimePoint now) const
{
    StoreDelta delta { .revision = m_revision,
        .age = std::chrono::ceil<Milliseconds>(now - m_evidenceAt),
        .isSnapshot = revision < m_removalsSince };
    if (revision >= m_revision)
        return delta;
    for (const auto& [key, object] : m_objects) {
        if (delta.isSnapshot || object.version > revision)
            delta.objects.push_back(object);
    }
    for (const Removal& removal : m_removals) {
        if (!delta.isSnapshot && removal.revision > revision && !m_objects.contains(removal.key))
            delta.removed.push_back(removal.key);
    }
    return delta;
}

bool StoreFollower::applyDelta(const StoreDelta& delta, TimePoint now)
{
    if (delta.revision < m_revision)
        return false;
    const bool isNew = delta.revision > m_revision;
    recordPeerEvidence(delta.age, now);
    if (isNew && delta.isSnapshot) {
        applyList({ delta.revision, delta.objects });
    } else if (isNew) {
        for (const PlatformObject& object : delta.objects)
            applyEvent({ object.key, object.version, object.value });
        for (const std::string& key : delta.removed) {
            applyEvent({ key, delta.revision, std::nullopt });
            recordRemoval(key, delta.revision);
        }
        m_revision = delta.revision;
    }
    if (m_revision > 0)
        m_mustList = false;
    notifyConfirmed();
    return isNew;
}

void StoreFollower::recordEvidence(ObjectVersion revision, Milliseconds age, TimePoint now)
{
    if (revision == m_revision) {
        recordPeerEvidence(age, now);
        notifyConfirmed();
    } else if (revision > m_revision && m_isRelayed && !m_mustReadStore) {
        m_mustReadStore = true;
        m_pauseTimer.cancel();
    }
}

void StoreFollower::recordPeerEvidence(Milliseconds age, TimePoint now)
{
    m_evidenceAt = std::max(m_evidenceAt, now - age);
    // A host that relies on its peers does not call the store, so it learns only from them that the store
    // is reachable again.
    if (m_isRelayed && age < m_options.maxRelayedAge)
        endOutage();
}

void StoreFollower::notifyConfirmed()
{
    if (m_handlers.onConfirmed)
        m_handlers.onConfirmed(m_evidenceAt);
}

void StoreFollower::applyList(const PlatformList& list)
{
    if (m_revision > 0 && !areOfSameHistory(m_revision, list.revision) && m_handlers.onRestored)
        m_handlers.onRestored(m_revision);
    m_objects.clear();
    for (const PlatformObject& object : list.objects)
        m_objects[object.key] = object;
    m_revision = list.revision;
    m_removals.clear();
    m_removalsSince = m_revision;
    m_handlers.onListed(list);
}

void StoreFollower::applyEvent(const PlatformEvent& event)
{
    // A watch that was sent before a peer's delta arrived may return events older than the known state.
    const auto known = m_objects.find(event.key);
    if (known != m_objects.end() && known->second.version > event.version)
        return;
    if (event.value)
        m_objects[event.key] = { event.key, event.version, *event.value };
    else
        m_objects.erase(event.key);
    m_handlers.onChanged(event);
}

void StoreFollower::recordRemoval(const std::string& key, ObjectVersion revision)
{
    m_removals.push_back({ revision, key });
    if (m_removals.size() <= maxRemovals)
        return;
    m_removalsSince = m_removals.front().revision;
    m_removals.pop_front();
}

void StoreFollower::onReadFailed(const std::string& reason, bool isStoreAway)
{
    // The other kinds of objects may still be read if the store responds.
    m_isStoreAway = isStoreAway;
    if (isStoreAway && !m_probeState.prober)
        m_probeState.prober = this;
    if (!isStoreAway && m_probeState.prober == this)
        m_probeState.prober = nullptr;
    if (!std::exchange(m_isLost, true))
        m_handlers.onLost(reason);
}

void StoreFollower::reportRejected(std::size_t count)
{
    if (count > 0 && m_handlers.onRejected)
        m_handlers.onRejected(count);
}

void StoreFollower::onStoreResponse()
{
    m_evidenceAt = RuntimeClock::now();
    m_retryDelay = m_options.retryDelay;
    endOutage();
}

void StoreFollower::endOutage()
{
    if (m_probeState.prober == this)
        m_probeState.prober = nullptr;
    m_isStoreAway = false;
    if (std::exchange(m_isLost, false))
        m_handlers.onRegained();
}

}
