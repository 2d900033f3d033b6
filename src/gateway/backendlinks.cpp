#include "gateway/backendlinks.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds probeTimeout { 350 };
    constexpr Milliseconds probeInterval { 400 };
    // Once one of several lost links is back, the others mostly are, too.
    constexpr Milliseconds regainedProbeInterval { 60 };
    constexpr std::size_t lostProbes = 3;
    constexpr std::size_t regainedProbes = 8;
    constexpr std::size_t controlProbes = 3;

}

BackendLinks::BackendLinks(Asio::io_context& context, ServingView& view)
    : m_context(context)
    , m_view(view)
{
}

void BackendLinks::recordReached(const Endpoint& server)
{
    const TimePoint now = RuntimeClock::now();
    if (const std::optional<TimePoint> lostSince = m_table.recordReached(server, now))
        writeLog(LogLevel::Info, "server_link_regained",
            { { "address", toText(server) }, { "lost_ms", millisecondsBetween(*lostSince, now) },
                { "lost_links", m_table.lostLinks() } });
    // Reaching a server can only end that this host is cut off.
    if (m_wasCutOff)
        updateCutOff();
}

void BackendLinks::recordUnreachable(const Endpoint& server, const boost::system::error_code& error)
{
    const TimePoint now = RuntimeClock::now();
    if (m_table.recordUnreachable(server, now))
        writeLog(LogLevel::Info, "server_link_lost",
            { { "address", toText(server) }, { "reason", error.message() }, { "lost_links", m_table.lostLinks() },
                { "reached_ms_ago", millisecondsBetween(m_table.lastReachedAt(), now) } });
    updateCutOff();
    // A cut link gives no response; a refusal shows that no process listens.
    if (error == Asio::error::connection_refused)
        m_refusing.insert(server);
    if (!std::exchange(m_isProbing, true))
        Asio::co_spawn(m_context, probeLostLinks(), Asio::detached);
}

void BackendLinks::recordConnected(const Endpoint& server)
{
    if (m_refusing.erase(server) == 0)
        return;
    const Milliseconds coldTime = m_view.markServerRestarted(server, RuntimeClock::now());
    writeLog(LogLevel::Info, "server_counts_as_restarted",
        { { "address", toText(server) }, { "cold_ms", coldTime.count() } });
}

bool BackendLinks::isCutOff() const
{
    return m_table.isCutOff(RuntimeClock::now())
        || (m_table.lostLinks() > 0 && m_table.lostLinks() >= m_view.servers().size());
}

void BackendLinks::updateCutOff()
{
    const bool isCutOffNow = isCutOff();
    if (std::exchange(m_wasCutOff, isCutOffNow) == isCutOffNow)
        return;
    writeLog(isCutOffNow ? LogLevel::Warning : LogLevel::Info, isCutOffNow ? "host_cut_off" : "host_links_regained",
        { { "lost_links", m_table.lostLinks() }, { "servers", m_view.servers().size() },
            { "reached_ms_ago", millisecondsBetween(m_table.lastReachedAt(), RuntimeClock::now()) } });
    if (m_changeHandler)
        m_changeHandler();
}

Asio::awaitable<boost::system::error_code> BackendLinks::probe(Endpoint server)
{
    Endpoint target = m_translation ? m_translation(server) : server;
    const boost::system::error_code error = co_await tryConnect(m_context, std::move(target), probeTimeout);
    if (error) {
        recordUnreachable(server, error);
    } else {
        recordConnected(server);
        recordReached(server);
    }
    co_return error;
}

void BackendLinks::probeIfSilent(const Endpoint& server, TimePoint sentAt)
{
    if (m_table.startSilenceProbe(server, sentAt, RuntimeClock::now()))
        Asio::co_spawn(
            m_context,
            [this, server]() -> Asio::awaitable<void> {
                Endpoint probed = server;
                co_await probe(std::move(probed));
            },
            Asio::detached);
}

std::vector<Endpoint> BackendLinks::otherServers(const std::optional<Endpoint>& server, std::size_t count)
{
    const auto& known = m_view.servers().all();
    std::vector<Endpoint> servers;
    if (known.empty())
        return servers;
    auto next = std::next(known.begin(),
        std::uniform_int_distribution<std::ptrdiff_t>(0, static_cast<std::ptrdiff_t>(known.size()) - 1)(m_random));
    for (std::size_t visited = 0; visited < known.size() && servers.size() < count; ++visited) {
        const Endpoint& endpoint = next->second.server.endpoint;
        if (endpoint != server && !m_table.hasLost(endpoint))
            servers.push_back(endpoint);
        if (++next == known.end())
            next = known.begin();
    }
    return servers;
}

Asio::awaitable<bool> BackendLinks::reachesAnother(Endpoint server)
{
    const std::vector<Endpoint> others = otherServers(server, controlProbes);
    bool isReached = others.empty() && m_table.lostLinks() <= 1;
    for (auto other = others.begin(); other != others.end() && !isReached; ++other) {
        Endpoint probed = *other;
        isReached = !co_await probe(std::move(probed));
    }
    co_return isReached;
}

Asio::awaitable<void> BackendLinks::probeAll(std::vector<Endpoint> servers)
{
    auto pending = std::make_shared<std::size_t>(servers.size());
    auto ended = std::make_shared<AsyncEvent>(m_context.get_executor());
    for (const Endpoint& server : servers)
        Asio::co_spawn(
            m_context,
            [this, server, pending, ended]() -> Asio::awaitable<void> {
                Endpoint probed = server;
                co_await probe(std::move(probed));
                if (--*pending == 0)
                    ended->notifyAll();
            },
            Asio::detached);
    while (*pending > 0)
        co_await ended->wait();
}

Asio::awaitable<void> BackendLinks::probeLostLinks()
{
    TimePoint lastRoundAt = RuntimeClock::now();
    std::size_t lostBefore = 0;
    while (m_table.lostLinks() > 0) {
        const std::size_t lost = m_table.lostLinks();
        const bool isRegaining = lost < lostBefore;
        lostBefore = lost;
        std::vector<Endpoint> probed;
        // Other servers show whether this host or a server is cut off.
        if (m_table.lastReachedAt() <= lastRoundAt)
            probed = otherServers(std::nullopt, controlProbes);
        const std::vector<Endpoint> lostServers = m_table.nextToProbe(isRegaining ? regainedProbes : lostProbes);
        probed.insert(probed.end(), lostServers.begin(), lostServers.end());
        lastRoundAt = RuntimeClock::now();
        co_await probeAll(std::move(probed));
        updateCutOff();
        const bool hasRegained = m_table.lostLinks() < lost;
        co_await sleepFor(m_context.get_executor(), hasRegained ? regainedProbeInterval : probeInterval);
        updateCutOff();
    }
    m_isProbing = false;
}

void BackendLinks::removeUnknownServers()
{
    std::set<Endpoint> listed;
    for (const auto& [id, known] : m_view.servers().all())
        listed.insert(known.server.endpoint);
    m_table.retain(listed);
    std::erase_if(m_refusing, [&listed](const Endpoint& server) { return !listed.contains(server); });
    updateCutOff();
}

}
