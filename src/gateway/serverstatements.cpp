#include "gateway/serverstatements.h"

#include "libnet/log.h"

#include <boost/json/object.hpp>

namespace Apricot {

namespace {

    constexpr int statusMisdirected = 421;
    constexpr int statusUnavailable = 503;
    constexpr std::size_t maxLoggedBytes = 40;
    // Longer rests are cut by ServerRests; bounds the conversion.
    constexpr double maxRestSeconds = 1e6;
    // Callers return within this time after a server is available again.
    constexpr Milliseconds returnSpread { 500 };
    constexpr Milliseconds minRetryAfter { 20 };

}

ServerStatements::ServerStatements(ServingView& view, LimitPermits& limits)
    : m_view(view)
    , m_limits(limits)
{
}

void ServerStatements::record(const ServerEntry& server, TimePoint sentAt, const HttpResponseHead& response)
{
    // Comes from another server that has taken over the address.
    if (response.status == statusMisdirected)
        return;
    const TimePoint now = RuntimeClock::now();
    const Platform::ServerStatement statement = Platform::readServerStatement(response);
    if (statement.limit.isMalformed)
        logIgnored(server, "limit", statement.limit.text);
    else
        m_limits.recordLimit(server, sentAt, statement.limit.value);
    if (statement.brittleLimit.isMalformed)
        logIgnored(server, "brittle", statement.brittleLimit.text);
    else if (m_brittle.record(server, statement.brittleLimit.value, sentAt, now))
        writeLog(LogLevel::Info, "server_brittle_changed",
            { { "server", server.id.value() }, { "started_at", server.startedAt },
                { "limit",
                    statement.brittleLimit.value ? boost::json::value(*statement.brittleLimit.value)
                                                 : boost::json::value(nullptr) } });
    recordRest(server, statement.restSeconds, now);
    if (statement.isLeaving && m_view.servers().recordLeaving(startOf(server)))
        writeLog(LogLevel::Info, "server_leaving", { { "server", server.id.value() }, { "started_at", server.startedAt } });
    if (response.status == statusUnavailable && Platform::readResponseMarkers(response).isNotRun)
        m_brittle.recordRefusal(server, m_view.hosts().size(), now);
}

void ServerStatements::recordRest(
    const ServerEntry& server, const Platform::StatedNumber& seconds, TimePoint now)
{
    if (seconds.isMalformed)
        return logIgnored(server, "rest", seconds.text);
    if (!seconds.value || *seconds.value == 0)
        return;
    const auto rest = std::chrono::duration<double>(std::min(*seconds.value, maxRestSeconds));
    if (m_rests.record(startOf(server), std::chrono::duration_cast<Duration>(rest), now))
        writeLog(LogLevel::Info, "server_rest_started",
            { { "server", server.id.value() }, { "started_at", server.startedAt }, { "seconds", *seconds.value } });
}

void ServerStatements::logIgnored(
    const ServerEntry& server, std::string_view field, const std::string& text) const
{
    writeLog(LogLevel::Warning, "server_statement_ignored",
        { { "server", server.id.value() }, { "statement", field }, { "value", text.substr(0, maxLoggedBytes) } });
}

ServerAvailability ServerStatements::availability(const ServerEntry& server)
{
    const TimePoint now = RuntimeClock::now();
    if (!m_rests.mayReceive(startOf(server), placesTaken(server.id), now))
        return ServerAvailability::Resting;
    if (!m_brittle.hasRoom(server, placesTaken(server.id), m_view.hosts().size(), now))
        return ServerAvailability::Full;
    return m_limits.mayAcquire(server) ? ServerAvailability::Available : ServerAvailability::Limited;
}

TimePoint ServerStatements::availableAt(const ServerStart& server)
{
    return std::max(
        { m_limits.availableAt(server), m_brittle.pausedUntil(server), m_rests.restsUntil(server) });
}

TimePoint ServerStatements::earliestAvailable(const std::vector<const KnownServer*>& servers, TimePoint now)
{
    TimePoint earliest = servers.empty() ? now : TimePoint::max();
    for (const KnownServer* known : servers)
        earliest = std::min(earliest, availableAt(startOf(known->server)));
    return earliest;
}

bool ServerStatements::isAnyAvailable(const std::vector<const KnownServer*>& servers)
{
    const TimePoint now = RuntimeClock::now();
    return earliestAvailable(servers, now) <= now;
}

Milliseconds ServerStatements::retryAfter(const std::vector<const KnownServer*>& servers)
{
    const TimePoint now = RuntimeClock::now();
    std::uniform_int_distribution<Milliseconds::rep> spread(0, returnSpread.count());
    const auto wait = std::chrono::ceil<Milliseconds>(earliestAvailable(servers, now) - now);
    return std::max(wait, minRetryAfter) + Milliseconds(spread(m_random));
}

std::shared_ptr<void> ServerStatements::takePlace(const BackendServerId& server)
{
    ++(*m_places)[server];
    return { nullptr, [places = m_places, server](void* /*unused*/) {
                const auto taken = places->find(server);
                if (--taken->second == 0)
                    places->erase(taken);
            } };
}

bool ServerStatements::mayUsePlace(const ServerEntry& server) const
{
    const TimePoint now = RuntimeClock::now();
    const int others = placesTaken(server.id) - 1;
    return m_rests.mayReceive(startOf(server), others, now)
        && m_brittle.hasRoom(server, others, m_view.hosts().size(), now);
}

int ServerStatements::placesTaken(const BackendServerId& server) const
{
    const auto taken = m_places->find(server);
    return taken == m_places->end() ? 0 : taken->second;
}

void ServerStatements::onViewChanged()
{
    std::set<BackendServerId> listed;
    for (const auto& [id, known] : m_view.servers().all())
        listed.insert(id);
    m_brittle.retain(listed);
    m_rests.retain(listed, RuntimeClock::now());
}

}
