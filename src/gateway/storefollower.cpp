#include "gateway/storefollower.h"

#include "libnet/asyncevent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Apricot {

namespace Asio = boost::asio;

StoreFollower::StoreFollower(Asio::io_context& context, PlatformClient& store,
    StoreFollowerOptions options, Handlers handlers)
    : m_context(context)
    , m_store(store)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
{
}

void StoreFollower::start()
{
    Asio::co_spawn(m_context, follow(), Asio::detached);
}

Asio::awaitable<void> StoreFollower::follow()
{
    while (true) {
        std::string reason;
        try {
            co_await readOnce();
        } catch (const std::exception& error) {
            reason = error.what();
        }
        if (reason.empty()) {
            noteRegained();
            continue;
        }
        noteLost(reason);
        co_await sleepFor(m_context.get_executor(), m_options.retryTime);
    }
}

Asio::awaitable<void> StoreFollower::readOnce()
{
    if (m_mustList) {
        const PlatformList list = co_await m_store.list(m_options.prefix);
        // Before the list is taken in: what lapsed in an outage is then known to have.
        noteRegained();
        // A list that was read before a peer's was absorbed may be older.
        if (list.revision >= m_revision)
            takeList(list);
        m_mustList = false;
        co_return;
    }
    const PlatformWatch watched
        = co_await m_store.watch(m_options.prefix, m_revision, m_options.watchTime);
    noteRegained();
    if (std::holds_alternative<PlatformListAgain>(watched)) {
        m_mustList = true;
        co_return;
    }
    const auto& events = std::get<PlatformEvents>(watched);
    for (const PlatformEvent& event : events.events)
        takeEvent(event);
    m_revision = std::max(m_revision, events.revision);
    if (!events.events.empty())
        co_await sleepFor(m_context.get_executor(), m_options.gatherTime);
}

PlatformList StoreFollower::list() const
{
    PlatformList list { .revision = m_revision };
    for (const auto& [key, object] : m_objects)
        list.objects.push_back(object);
    return list;
}

bool StoreFollower::absorb(const PlatformList& list)
{
    if (list.revision <= m_revision)
        return false;
    takeList(list);
    return true;
}

void StoreFollower::takeList(const PlatformList& list)
{
    m_objects.clear();
    for (const PlatformObject& object : list.objects)
        m_objects[object.key] = object;
    m_revision = list.revision;
    m_handlers.listed(list);
}

void StoreFollower::takeEvent(const PlatformEvent& event)
{
    // A watch that was sent before a peer's list was absorbed tells what is known already.
    const auto known = m_objects.find(event.key);
    if (known != m_objects.end() && known->second.version >= event.version)
        return;
    if (event.value)
        m_objects[event.key] = { event.key, event.version, *event.value };
    else
        m_objects.erase(event.key);
    m_handlers.changed(event);
}

void StoreFollower::noteLost(const std::string& reason)
{
    if (!std::exchange(m_isLost, true))
        m_handlers.lost(reason);
}

void StoreFollower::noteRegained()
{
    if (std::exchange(m_isLost, false))
        m_handlers.regained();
}

}
