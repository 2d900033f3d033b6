#include "dispatch/configwatcher.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/serialize.hpp>

namespace Apricot {

namespace asio = boost::asio;

namespace {

    constexpr Milliseconds peerRequestTimeout { 1000 };

    ConfigDelta makeDelta(const std::string& prefix, const PlatformList& list)
    {
        ConfigDelta delta { .prefix = prefix, .isSnapshot = true, .revision = list.revision };
        for (const PlatformObject& object : list.objects)
            delta.objects.push_back(
                { object.key, object.version, boost::json::serialize(object.value) });
        return delta;
    }

    ConfigDelta makeDelta(
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
        asio::co_spawn(m_context, followPrefix(prefix), asio::detached);
}

void ConfigWatcher::fetchFrom(PeerEndpoint peer, ObjectVersion peerRevision)
{
    if (m_isFetching || peerRevision <= m_store.revision())
        return;
    m_isFetching = true;
    asio::co_spawn(m_context, fetch(std::move(peer)), asio::detached);
}

ConfigResponseMessage ConfigWatcher::respondTo(
    const std::vector<PrefixRevision>& revisions) const
{
    ConfigResponseMessage response;
    for (const PrefixRevision& known : revisions)
        response.deltas.push_back(m_store.deltaSince(known.prefix, known.revision));
    return response;
}

asio::awaitable<void> ConfigWatcher::followPrefix(std::string prefix)
{
    bool needsList = true;
    while (true) {
        Milliseconds delay { 0 };
        if (shouldWatch()) {
            try {
                co_await listOrWatch(prefix, needsList);
            } catch (const PlatformUnavailable& error) {
                delay = std::max(m_options.retryInterval, error.retryAfter());
            }
        } else {
            delay = m_options.retryInterval;
        }
        if (delay.count() > 0)
            co_await sleepFor(m_context.get_executor(), delay);
    }
}

asio::awaitable<void> ConfigWatcher::listOrWatch(const std::string& prefix, bool& needsList)
{
    const ObjectVersion since = m_store.revision(prefix);
    if (needsList || since == 0) {
        const PlatformList list = co_await m_platform.list(prefix);
        applyDelta(makeDelta(prefix, list));
        needsList = list.revision == 0;
        if (needsList)
            co_await sleepFor(m_context.get_executor(), m_options.retryInterval);
        co_return;
    }
    const PlatformWatch result
        = co_await m_platform.watch(prefix, since, m_options.watchTimeout);
    if (const auto* events = std::get_if<PlatformEvents>(&result))
        applyDelta(makeDelta(prefix, since, *events));
    else
        needsList = true;
}

asio::awaitable<void> ConfigWatcher::fetch(PeerEndpoint peer)
{
    try {
        Message request = ConfigRequestMessage { .revisions = prefixRevisions(m_store) };
        const Message response
            = co_await m_peers.call(std::move(peer), std::move(request), peerRequestTimeout);
        if (const auto* received = std::get_if<ConfigResponseMessage>(&response)) {
            for (const ConfigDelta& delta : received->deltas)
                applyDelta(delta);
        }
    } catch (const std::exception&) {
        // The next heartbeat response triggers another request.
        m_isFetching = false;
        co_return;
    }
    m_isFetching = false;
}

void ConfigWatcher::applyDelta(const ConfigDelta& delta)
{
    const ObjectVersion revisionBefore = m_store.revision();
    const std::size_t invalidCountBefore = m_store.invalidObjects().size();
    const bool isChanged = m_store.apply(delta);
    if (m_store.revision() > revisionBefore)
        m_advancedAt = RuntimeClock::now();
    if (m_store.invalidObjects().size() > invalidCountBefore) {
        for (const auto& [key, invalid] : m_store.invalidObjects()) {
            const boost::json::object fields { { "key", key }, { "version", invalid.version },
                { "error", invalid.error } };
            writeLog(LogLevel::Warning, "config_invalid", fields);
        }
    }
    if (isChanged || m_store.revision() > revisionBefore)
        m_onAdvance();
}

bool ConfigWatcher::shouldWatch() const
{
    return m_isWatcher() || RuntimeClock::now() - m_advancedAt >= m_options.staleTime;
}

}
