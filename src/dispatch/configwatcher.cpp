#include "dispatch/configwatcher.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds askTimeout { 1000 };

    ConfigDelta deltaOf(const std::string& prefix, const PlatformList& list)
    {
        ConfigDelta delta { .prefix = prefix, .isSnapshot = true, .revision = list.revision };
        for (const PlatformObject& object : list.objects)
            delta.objects.push_back(
                { object.key, object.version, boost::json::serialize(object.value) });
        return delta;
    }

    ConfigDelta deltaOf(
        const std::string& prefix, ObjectVersion since, const PlatformEvents& events)
    {
        ConfigDelta delta { .prefix = prefix, .since = since, .revision = events.revision };
        for (const PlatformEvent& event : events.events)
            delta.objects.push_back({ event.key, event.version,
                event.value ? boost::json::serialize(*event.value) : std::string() });
        return delta;
    }

}

ConfigWatcher::ConfigWatcher(asio::io_context& context, PlatformClient& platform, PeerClient& peers,
    ConfigWatcherOptions options)
    : m_context(context)
    , m_platform(platform)
    , m_peers(peers)
    , m_options(options)
{
}

void ConfigWatcher::start(IsWatcher isWatcher, OnAdvance onAdvance)
{
    m_isWatcher = std::move(isWatcher);
    m_onAdvance = std::move(onAdvance);
    for (const std::string& prefix : ConfigStore::prefixes())
        asio::co_spawn(m_context, follow(prefix), asio::detached);
}

void ConfigWatcher::fetchFrom(PeerEndpoint peer, ObjectVersion peerRevision)
{
    if (m_isAsking || peerRevision <= m_store.revision())
        return;
    m_isAsking = true;
    asio::co_spawn(m_context, ask(std::move(peer)), asio::detached);
}

ConfigResponseMessage ConfigWatcher::answer(const std::vector<PrefixRevision>& marks) const
{
    ConfigResponseMessage answer;
    for (const PrefixRevision& mark : marks)
        answer.deltas.push_back(m_store.deltaSince(mark.prefix, mark.revision));
    return answer;
}

asio::awaitable<void> ConfigWatcher::follow(std::string prefix)
{
    bool listsAgain = true;
    while (true) {
        Milliseconds pause { 0 };
        if (shouldWatch()) {
            try {
                co_await readOnce(prefix, listsAgain);
            } catch (const PlatformUnavailable& error) {
                pause = std::max(m_options.retryInterval, error.retryAfter());
            }
        } else {
            pause = m_options.retryInterval;
        }
        if (pause.count() > 0)
            co_await sleepFor(m_context.get_executor(), pause);
    }
}

asio::awaitable<void> ConfigWatcher::readOnce(const std::string& prefix, bool& listsAgain)
{
    const ObjectVersion since = m_store.revision(prefix);
    if (listsAgain || since == 0) {
        const PlatformList list = co_await m_platform.list(prefix);
        take(deltaOf(prefix, list));
        listsAgain = list.revision == 0;
        if (listsAgain)
            co_await sleepFor(m_context.get_executor(), m_options.retryInterval);
        co_return;
    }
    const PlatformWatch watched
        = co_await m_platform.watch(prefix, since, m_options.watchTimeout);
    if (const auto* events = std::get_if<PlatformEvents>(&watched))
        take(deltaOf(prefix, since, *events));
    else
        listsAgain = true;
}

asio::awaitable<void> ConfigWatcher::ask(PeerEndpoint peer)
{
    try {
        Message question = ConfigRequestMessage { .revisions = prefixRevisions(m_store) };
        const Message answer
            = co_await m_peers.call(std::move(peer), std::move(question), askTimeout);
        if (const auto* config = std::get_if<ConfigResponseMessage>(&answer)) {
            for (const ConfigDelta& delta : config->deltas)
                take(delta);
        }
    } catch (const std::exception&) {
        // The next heartbeat asks again.
        m_isAsking = false;
        co_return;
    }
    m_isAsking = false;
}

void ConfigWatcher::take(const ConfigDelta& delta)
{
    const ObjectVersion before = m_store.revision();
    const std::size_t invalidBefore = m_store.invalidObjects().size();
    const bool isChanged = m_store.apply(delta);
    if (m_store.revision() > before)
        m_advancedAt = RuntimeClock::now();
    if (m_store.invalidObjects().size() > invalidBefore) {
        for (const auto& [key, invalid] : m_store.invalidObjects()) {
            const boost::json::object fields { { "key", key }, { "version", invalid.version },
                { "error", invalid.error } };
            writeLog(LogLevel::Warning, "config_invalid", fields);
        }
    }
    if (isChanged || m_store.revision() > before)
        m_onAdvance();
}

bool ConfigWatcher::shouldWatch() const
{
    return m_isWatcher() || RuntimeClock::now() - m_advancedAt >= m_options.staleTime;
}

}
