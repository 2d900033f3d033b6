#include "gateway/storefollower.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Removals that are kept to be told to peers.
    constexpr std::size_t removalLimit = 1000;
    // Time between two looks whether another follower has found the store again.
    constexpr Milliseconds proberPoll { 150 };

}

StoreFollower::StoreFollower(Asio::io_context& context, PlatformClient& store, StoreContact& contact,
    StoreFollowerOptions options, Handlers handlers)
    : m_context(context)
    , m_store(store)
    , m_contact(contact)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_rest(context)
    , m_retryTime(m_options.retryTime)
    , m_watchTime(m_options.watchTime)
    , m_gatherTime(m_options.gatherTime)
{
}

void StoreFollower::start()
{
    Asio::co_spawn(m_context, follow(), Asio::detached);
}

void StoreFollower::setTimes(bool isWatcher, Milliseconds watchTime, Milliseconds gatherTime)
{
    m_watchTime = isWatcher ? watchTime : m_options.watchTime;
    m_gatherTime = isWatcher ? gatherTime : m_options.gatherTime;
}

Asio::awaitable<void> StoreFollower::follow()
{
    while (true) {
        const TimePoint now = RuntimeClock::now();
        if (mayRest(now)) {
            co_await pause(m_evidenceAt + m_options.relayedAge - now);
            continue;
        }
        if (m_contact.prober && m_contact.prober != this) {
            co_await pause(proberPoll);
            continue;
        }
        std::string reason;
        try {
            co_await readOnce();
        } catch (const std::exception& error) {
            reason = error.what();
        }
        if (reason.empty())
            continue;
        noteLost(reason);
        co_await pause(m_retryTime);
        m_retryTime = std::min(m_retryTime * 2, m_options.longestRetryTime);
    }
}

bool StoreFollower::mayRest(TimePoint now) const
{
    return m_isRelayed && !m_mustList && !m_mustAsk && now < m_evidenceAt + m_options.relayedAge;
}

Asio::awaitable<void> StoreFollower::pause(Duration time)
{
    m_rest.expires_after(time);
    boost::system::error_code ignored;
    co_await m_rest.async_wait(Asio::redirect_error(Asio::use_awaitable, ignored));
}

Asio::awaitable<void> StoreFollower::readOnce()
{
    m_mustAsk = false;
    if (m_mustList) {
        const PlatformList list = co_await m_store.list(m_options.prefix);
        // Before the list is taken in: what lapsed in an outage is then known to have.
        noteAnswered();
        // A list that was read before a peer's knowledge came may be older than that.
        if (list.revision >= m_revision)
            takeList(list);
        m_mustList = false;
        co_return;
    }
    const bool waits = !m_isLost && !m_isRelayed;
    const PlatformWatch watched = co_await m_store.watch(
        m_options.prefix, m_revision, waits ? m_watchTime : Milliseconds(1));
    noteAnswered();
    if (std::holds_alternative<PlatformHistoryExpired>(watched)) {
        m_mustList = true;
        co_return;
    }
    const auto& events = std::get<PlatformEvents>(watched);
    for (const PlatformEvent& event : events.events) {
        takeEvent(event);
        if (!event.value)
            noteRemoval(event.key, events.revision);
    }
    m_revision = std::max(m_revision, events.revision);
    if (!events.events.empty())
        co_await pause(m_gatherTime);
}

StoreDelta StoreFollower::deltaSince(ObjectVersion revision, TimePoint now) const
{
    StoreDelta delta { .revision = m_revision,
        .age = std::chrono::ceil<Milliseconds>(now - m_evidenceAt),
        .isWhole = revision < m_removalsSince };
    if (revision >= m_revision)
        return delta;
    for (const auto& [key, object] : m_objects) {
        if (delta.isWhole || object.version > revision)
            delta.objects.push_back(object);
    }
    for (const Removal& removal : m_removals) {
        if (!delta.isWhole && removal.revision > revision && !m_objects.contains(removal.key))
            delta.removed.push_back(removal.key);
    }
    return delta;
}

bool StoreFollower::absorb(const StoreDelta& delta, TimePoint now)
{
    if (delta.revision < m_revision)
        return false;
    const bool isNew = delta.revision > m_revision;
    noteRelayed(delta.age, now);
    if (isNew && delta.isWhole) {
        takeList({ delta.revision, delta.objects });
    } else if (isNew) {
        for (const PlatformObject& object : delta.objects)
            takeEvent({ object.key, object.version, object.value });
        for (const std::string& key : delta.removed) {
            takeEvent({ key, delta.revision, std::nullopt });
            noteRemoval(key, delta.revision);
        }
        m_revision = delta.revision;
    }
    if (m_revision > 0)
        m_mustList = false;
    return isNew;
}

void StoreFollower::noteEvidence(ObjectVersion revision, Milliseconds age, TimePoint now)
{
    if (revision == m_revision) {
        noteRelayed(age, now);
    } else if (revision > m_revision && m_isRelayed && !m_mustAsk) {
        m_mustAsk = true;
        m_rest.cancel();
    }
}

void StoreFollower::noteRelayed(Milliseconds age, TimePoint now)
{
    m_evidenceAt = std::max(m_evidenceAt, now - age);
    // This host rests on its peers' knowledge and does not find out by itself that the store is back.
    if (m_isRelayed && age < m_options.relayedAge)
        endOutage();
}

void StoreFollower::takeList(const PlatformList& list)
{
    m_objects.clear();
    for (const PlatformObject& object : list.objects)
        m_objects[object.key] = object;
    m_revision = list.revision;
    m_removals.clear();
    m_removalsSince = m_revision;
    m_handlers.listed(list);
}

void StoreFollower::takeEvent(const PlatformEvent& event)
{
    // A watch that was sent before a peer's knowledge came tells what is known already.
    const auto known = m_objects.find(event.key);
    if (known != m_objects.end() && known->second.version > event.version)
        return;
    if (event.value)
        m_objects[event.key] = { event.key, event.version, *event.value };
    else
        m_objects.erase(event.key);
    m_handlers.changed(event);
}

void StoreFollower::noteRemoval(const std::string& key, ObjectVersion revision)
{
    m_removals.push_back({ revision, key });
    if (m_removals.size() <= removalLimit)
        return;
    m_removalsSince = m_removals.front().revision;
    m_removals.pop_front();
}

void StoreFollower::noteLost(const std::string& reason)
{
    if (!m_contact.prober)
        m_contact.prober = this;
    if (!std::exchange(m_isLost, true))
        m_handlers.lost(reason);
}

void StoreFollower::noteAnswered()
{
    m_evidenceAt = RuntimeClock::now();
    m_retryTime = m_options.retryTime;
    endOutage();
}

void StoreFollower::endOutage()
{
    if (m_contact.prober == this)
        m_contact.prober = nullptr;
    if (std::exchange(m_isLost, false))
        m_handlers.regained();
}

}
