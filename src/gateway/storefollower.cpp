#include "gateway/storefollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Removals that are remembered for relaying to peers.
    constexpr std::size_t maxRemovals = 1000;
    // Time between two attempts of a host below others: the store's return reaches it through them.
    constexpr Milliseconds relayedRetryDelay { 3000 };
    // Wait of a watch for objects that responses about others confirm.
    constexpr Milliseconds longWatchTimeout { 10'000 };
    // Interval of checks whether the follower that probes the store has reached it again.
    constexpr Milliseconds probePollInterval { 150 };
    // Interval of checks whether the follower that refreshes outdated state has its response.
    constexpr Milliseconds refreshPollInterval { 20 };

}

const char* storeCallReasonName(StoreCallReason reason)
{
    switch (reason) {
    case StoreCallReason::Start:
        return "start";
    case StoreCallReason::Relist:
        return "relist";
    case StoreCallReason::Watch:
        return "watch";
    case StoreCallReason::Outage:
        return "outage";
    case StoreCallReason::Outdated:
        return "outdated";
    case StoreCallReason::NewerAtPeer:
        return "newer_at_peer";
    case StoreCallReason::CatchUp:
        return "catch_up";
    case StoreCallReason::Overdue:
        return "overdue";
    }
    return "watch";
}

StoreFollower::StoreFollower(Asio::io_context& context, PlatformClient& store, StoreProbeState& probeState,
    StoreFollowerOptions options, Handlers handlers)
    : m_context(context)
    , m_store(store)
    , m_probeState(probeState)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_pauseTimer(context)
    , m_ageTimer(context)
    , m_retryDelay(m_options.retryDelay)
    , m_watchTimeout(m_options.watchTimeout)
    , m_batchDelay(m_options.batchDelay)
    , m_startedAt(RuntimeClock::now())
{
}

void StoreFollower::start()
{
    m_startedAt = RuntimeClock::now();
    Asio::co_spawn(m_context, follow(), Asio::detached);
    if (m_options.hasBoundedAge)
        Asio::co_spawn(m_context, boundAge(), Asio::detached);
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
        if (const TimePoint until = reliesOnPeersUntil(); now < until) {
            co_await pause(until - now);
            continue;
        }
        // The bound of its age would not hold if it waited for the others, and its reads of overdue objects replace the probes.
        const bool waitsForProbe = m_options.hasBoundedAge ? m_isStoreAway && isOverdue()
                                                           : m_probeState.prober && m_probeState.prober != this;
        if (waitsForProbe) {
            co_await pause(probePollInterval);
            continue;
        }
        const bool isRefresh = isRelayed() && !m_mustList;
        if (isRefresh && m_probeState.refresher && !m_options.isRefreshedAtOnce) {
            co_await pause(refreshPollInterval);
            continue;
        }
        if (isRefresh && !m_probeState.refresher)
            m_probeState.refresher = this;
        std::optional<std::string> reason;
        bool isStoreAway = false;
        const auto call = std::make_shared<HttpCancel>();
        m_call = call;
        m_calledAt = now;
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
        m_call = nullptr;
        if (m_probeState.refresher == this)
            m_probeState.refresher = nullptr;
        if (!reason || call->isCancelled())
            continue;
        // A watch that the store has lost says nothing about a store that has just responded about other objects.
        if (!isStoreAway || !isConfirmedLately())
            onReadFailed(*reason, isStoreAway);
        co_await pause(retryDelay());
        m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
    }
}

Milliseconds StoreFollower::retryDelay() const
{
    return isRelayed() ? probeInterval() : m_retryDelay;
}

Milliseconds StoreFollower::probeInterval() const
{
    return m_relayDepth > 1 ? relayedRetryDelay : m_options.maxRetryDelay;
}

bool StoreFollower::isConfirmedLately() const
{
    return m_options.isConfirmedByOthers && isConfirmed() && !m_isLost
        && RuntimeClock::now() < m_evidenceAt + m_watchTimeout;
}

StoreCallReason StoreFollower::nextCallReason() const
{
    if (m_isLost)
        return StoreCallReason::Outage;
    if (m_mustList)
        return m_hasListed ? StoreCallReason::Relist : StoreCallReason::Start;
    if (!isConfirmed())
        return StoreCallReason::Start;
    if (m_mustReadStore)
        return StoreCallReason::NewerAtPeer;
    return isRelayed() ? StoreCallReason::Outdated : StoreCallReason::Watch;
}

Milliseconds StoreFollower::watchWait() const
{
    if (m_isLost || isRelayed() || !isConfirmed())
        return Milliseconds(1);
    if (m_options.isConfirmedByOthers)
        return longWatchTimeout;
    // A response with changes shows the objects as they were when the watch began, so the next one comes earlier.
    const auto untilOutdated = std::chrono::ceil<Milliseconds>(m_evidenceAt + m_watchTimeout - RuntimeClock::now());
    return std::clamp(untilOutdated, Milliseconds(1), m_watchTimeout);
}

Asio::awaitable<void> StoreFollower::pause(Duration time)
{
    m_pauseTimer.expires_after(time);
    boost::system::error_code ignored;
    co_await m_pauseTimer.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> StoreFollower::readOnce()
{
    if (m_handlers.onCall)
        m_handlers.onCall(nextCallReason());
    m_mustReadStore = false;
    PlatformReadOptions options { .cancel = m_call };
    if (m_mustList)
        co_return co_await readList(std::move(options));
    const TimePoint sentAt = RuntimeClock::now();
    const Milliseconds wait = watchWait();
    const PlatformWatch watched = co_await m_store.watch(m_options.prefix, m_revision, wait, std::move(options));
    m_call = nullptr;
    onStoreResponse();
    if (applyWatch(watched, sentAt, wait) && !isRelayed())
        co_await pause(m_batchDelay);
}

Asio::awaitable<void> StoreFollower::readList(PlatformReadOptions options)
{
    const TimePoint sentAt = RuntimeClock::now();
    const bool isStale = m_options.startsFromStaleList && !m_hasListed && m_revision == 0;
    const PlatformList list = co_await m_store.list(
        m_options.prefix, isStale ? ReadFreshness::PossiblyStale : ReadFreshness::Current, std::move(options));
    // Ends an outage before the list is applied, so that entries missing from the list are handled as
    // expired during the outage.
    if (isStale) {
        endOutage();
    } else {
        onStoreResponse();
        recordStoreEvidence(sentAt);
    }
    reportRejected(list.rejected);
    // The list may be older than a delta that a peer sent while it was read.
    if (list.revision >= m_revision)
        applyList(list);
    m_mustList = false;
    m_hasListed = true;
    if (isStale)
        co_return;
    notifyConfirmed();
    notifyStoreRevision(list.revision, sentAt);
}

bool StoreFollower::applyWatch(const PlatformWatch& watched, TimePoint sentAt, Milliseconds wait)
{
    if (std::holds_alternative<PlatformHistoryExpired>(watched)) {
        m_mustList = true;
        return false;
    }
    const auto& events = std::get<PlatformEvents>(watched);
    reportRejected(events.rejected);
    for (const PlatformEvent& event : events.events) {
        applyEvent(event);
        if (!event.value)
            recordRemoval(event.key, events.revision);
    }
    m_revision = std::max(m_revision, events.revision);
    // The response may have been on the way since the watch began, or since its wait was over if nothing had changed.
    const TimePoint knownAt = events.events.empty() ? std::min(sentAt + wait, RuntimeClock::now()) : sentAt;
    recordStoreEvidence(knownAt);
    if (!events.events.empty())
        notifyApplied();
    notifyConfirmed();
    notifyStoreRevision(events.revision, knownAt);
    return !events.events.empty();
}

void StoreFollower::recordStoreEvidence(TimePoint knownAt)
{
    m_evidenceAt = std::max(m_evidenceAt, knownAt);
}

void StoreFollower::onStoreRevision(ObjectVersion revision, TimePoint knownAt)
{
    if (m_isLost && m_isStoreAway)
        m_pauseTimer.cancel();
    if (m_revision == 0 || m_mustList || m_isLost)
        return;
    if (revision == m_revision) {
        recordStoreEvidence(knownAt);
        notifyConfirmed();
        return;
    }
    const TimePoint now = RuntimeClock::now();
    const bool isOutdated = now >= (isRelayed() ? overdueAt() : m_evidenceAt + m_watchTimeout / 2);
    if (!m_options.isConfirmedByOthers || revision < m_revision || !isOutdated
        || std::exchange(m_isCatchingUp, true))
        return;
    Asio::co_spawn(m_context, catchUp(), Asio::detached);
}

Asio::awaitable<void> StoreFollower::catchUp()
{
    if (m_handlers.onCall)
        m_handlers.onCall(StoreCallReason::CatchUp);
    try {
        const TimePoint sentAt = RuntimeClock::now();
        PlatformReadOptions options;
        // A waiting watch that the store had not lost would have brought these changes.
        if (co_await readChanges(std::move(options)))
            abandonCallsBefore(sentAt);
    } catch (const std::exception&) {
        // The follower that reported the revision finds out whether the store still responds.
    }
    m_isCatchingUp = false;
}

Asio::awaitable<bool> StoreFollower::readChanges(PlatformReadOptions options)
{
    bool hasChanges = m_mustList;
    if (!m_mustList) {
        constexpr Milliseconds wait { 1 };
        const TimePoint sentAt = RuntimeClock::now();
        const PlatformWatch watched = co_await m_store.watch(m_options.prefix, m_revision, wait, options);
        hasChanges = applyWatch(watched, sentAt, wait);
    }
    if (m_mustList)
        co_await readList(std::move(options));
    co_return hasChanges;
}

void StoreFollower::notifyConfirmed()
{
    if (m_handlers.onConfirmed)
        m_handlers.onConfirmed(m_evidenceAt);
}

void StoreFollower::notifyStoreRevision(ObjectVersion revision, TimePoint knownAt)
{
    if (m_handlers.onStoreRevision)
        m_handlers.onStoreRevision(revision, knownAt);
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
    notifyApplied();
}

void StoreFollower::notifyApplied()
{
    if (m_handlers.onApplied)
        m_handlers.onApplied();
}

void StoreFollower::applyEvent(const PlatformEvent& event)
{
    // A watch that was sent before a peer's delta arrived may return events older than the known state.
    const auto known = m_objects.find(event.key);
    if (known != m_objects.end() && known->second.version > event.version)
        return;
    if (event.value)
        m_objects[event.key] = { event.key, event.version, *event.value, event.status };
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
    m_failedCallAt = m_calledAt;
    if (isStoreAway && (!m_probeState.prober || m_options.hasBoundedAge))
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
