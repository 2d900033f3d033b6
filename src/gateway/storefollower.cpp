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
        m_handlers.listed(list);
        m_revision = list.revision;
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
        m_handlers.changed(event);
    m_revision = std::max(m_revision, events.revision);
    if (!events.events.empty())
        co_await sleepFor(m_context.get_executor(), m_options.gatherTime);
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
