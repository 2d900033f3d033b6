#include "gateway/limitpermits.h"

#include "libapricot/rendezvous.h"
#include "libnet/log.h"
#include "libserving/serverlimitjson.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Hosts are a few milliseconds apart.
    constexpr Milliseconds peerTimeout { 150 };
    // How long no permits are requested from a host that did not respond.
    constexpr Milliseconds silentTime { 2000 };
    constexpr std::size_t grantorCount = 2;
    // Parts of a limit that the first host and its substitute grant. The first one may still run.
    constexpr double firstShare = 1;
    constexpr double substituteShare = 0.5;
    // Hosts to which one host passes on a notice.
    constexpr std::size_t treeFanOut = 8;
    constexpr Milliseconds minRefusalTime { 20 };

    const char* changeName(LimitChange change)
    {
        switch (change) {
        case LimitChange::Named:
            return "named";
        case LimitChange::Changed:
            return "changed";
        case LimitChange::Ended:
            return "ended";
        case LimitChange::None:
            return "none";
        }
        return "none";
    }

}

LimitPermits::LimitPermits(Asio::io_context& context, const ServingView& view, PeerClient& peers, HostId self,
    MetricRegistry& metrics)
    : m_context(context)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_metrics(metrics)
    , m_random(static_cast<std::minstd_rand::result_type>(stableHash(m_self.value())))
{
}

void LimitPermits::onServersRemoved()
{
    std::set<BackendServerId> listed;
    for (const auto& [id, known] : m_view.servers().all())
        listed.insert(id);
    m_limits.retain(listed);
    std::erase_if(m_grantors, [&listed](const auto& entry) { return !listed.contains(entry.first); });
}

void LimitPermits::onHostsChanged()
{
    m_hosts = m_view.hostIds();
    m_grantors.clear();
    std::erase_if(m_silentUntil, [this](const auto& entry) { return !m_view.hosts().contains(entry.first); });
}

const std::vector<HostId>& LimitPermits::grantorsOf(const BackendServerId& server)
{
    std::vector<HostId>& grantors = m_grantors[server];
    if (grantors.empty()) {
        grantors = rankHosts(server.value(), m_hosts);
        grantors.resize(std::min(grantors.size(), grantorCount));
    }
    return grantors;
}

double LimitPermits::ownShare(const BackendServerId& server)
{
    const std::vector<HostId>& grantors = grantorsOf(server);
    const auto own = std::find(grantors.begin(), grantors.end(), m_self);
    // A host that knows no others cannot ask them.
    if (own == grantors.end())
        return grantors.empty() ? substituteShare : 0;
    return own == grantors.begin() ? firstShare : substituteShare;
}

Asio::awaitable<bool> LimitPermits::acquire(ServerEntry server)
{
    const ServerStart start = startOf(server);
    if (!m_limits.find(start))
        co_return true;
    const std::vector<HostId> grantors = grantorsOf(server.id);
    if (grantors.empty())
        co_return acquireHere(start, substituteShare);
    for (const HostId& grantor : grantors) {
        if (grantor == m_self)
            co_return acquireHere(start, ownShare(server.id));
        if (m_silentUntil[grantor] > RuntimeClock::now())
            continue;
        if (const std::optional<bool> isGranted = co_await acquireFrom(grantor, start))
            co_return *isGranted;
    }
    count("no_response");
    const TimePoint now = RuntimeClock::now();
    m_limits.recordRefusal(start, now + silentTime, now);
    co_return false;
}

bool LimitPermits::acquireHere(const ServerStart& server, double share)
{
    const TimePoint now = RuntimeClock::now();
    const bool isGranted = m_limits.tryAcquire(server, share, now);
    count(isGranted ? "granted" : "refused");
    // A substitute relies on this as on the refusal of another host; otherwise it would try again at once.
    if (!isGranted)
        m_limits.recordRefusal(server, m_limits.nextPermitAt(server, share, now), now);
    return isGranted;
}

Asio::awaitable<std::optional<bool>> LimitPermits::acquireFrom(HostId grantor, ServerStart server)
{
    const auto host = m_view.hosts().find(grantor);
    const LimitEvidence* evidence = m_limits.find(server);
    if (host == m_view.hosts().end() || !evidence)
        co_return std::nullopt;
    std::string failure;
    try {
        Message message = TextMessage { permitTopic, toJson({ server, *evidence }, RuntimeClock::now()) };
        Endpoint endpoint = host->second.endpoint;
        const Message text = co_await m_peers.call(std::move(endpoint), std::move(message), peerTimeout);
        const TimePoint now = RuntimeClock::now();
        const PermitResponse response = readPermitResponse(std::get<TextMessage>(text).json, now);
        record(server, response.evidence, grantor.value(), false);
        count(response.isGranted ? "granted" : "refused");
        if (!response.isGranted)
            m_limits.recordRefusal(server, now + response.wait + jitter(response.wait), now);
        co_return response.isGranted;
    } catch (const std::exception& error) {
        failure = error.what();
    }
    m_silentUntil[grantor] = RuntimeClock::now() + silentTime;
    writeLog(LogLevel::Info, "limit_grantor_silent",
        { { "peer", grantor.value() }, { "server", server.server.value() }, { "reason", failure } });
    co_return std::nullopt;
}

std::string LimitPermits::respondTo(const std::string& text)
{
    const TimePoint now = RuntimeClock::now();
    const LimitNotice request = readLimitNotice(text, now);
    record(request.server, request.evidence, "peer", false);
    const double share = ownShare(request.server.server);
    const LimitEvidence* evidence = m_limits.latest(request.server);
    PermitResponse response { .isGranted = share > 0 && m_limits.tryAcquire(request.server, share, now),
        .evidence = evidence ? *evidence : LimitEvidence { .sentAt = TimePoint {} } };
    if (!response.isGranted) {
        const TimePoint next = share > 0 ? m_limits.nextPermitAt(request.server, share, now) : now + silentTime;
        response.wait = std::clamp(std::chrono::ceil<Milliseconds>(next - now), minRefusalTime, silentTime);
    }
    return toJson(response, now);
}

TimePoint LimitPermits::availableAt(const ServerStart& server)
{
    if (!m_limits.find(server))
        return {};
    const std::vector<HostId>& grantors = grantorsOf(server.server);
    if (grantors.empty() || grantors.front() == m_self)
        return m_limits.nextPermitAt(server, ownShare(server.server), RuntimeClock::now());
    return m_limits.refusedUntil(server);
}

bool LimitPermits::mayAcquire(const ServerEntry& server)
{
    return availableAt(startOf(server)) <= RuntimeClock::now();
}

bool LimitPermits::isLimited(const ServerEntry& server) const
{
    return m_limits.find(startOf(server)) != nullptr;
}

void LimitPermits::recordLimit(const ServerEntry& server, TimePoint sentAt, std::optional<double> limit)
{
    if (limit || m_limits.latest(startOf(server)))
        record(startOf(server), { limit, sentAt }, "response", true);
}

void LimitPermits::record(
    const ServerStart& server, const LimitEvidence& evidence, const std::string& source, bool isOwn)
{
    const TimePoint now = RuntimeClock::now();
    const LimitChange change = m_limits.record(server, evidence, now);
    if (change == LimitChange::None)
        return;
    const std::vector<HostId>& grantors = grantorsOf(server.server);
    writeLog(LogLevel::Info, "server_limit_changed",
        { { "server", server.server.value() }, { "started_at", server.startedAt }, { "change", changeName(change) },
            { "limit", evidence.limit ? boost::json::value(*evidence.limit) : boost::json::value(nullptr) },
            { "age_ms", millisecondsBetween(evidence.sentAt, now) }, { "source", source },
            { "grantor", grantors.empty() ? "" : grantors.front().value() } });
    if (!isOwn)
        return;
    const std::string notice = toJson({ server, evidence }, now);
    for (const HostId& grantor : grantors)
        notify(grantor, notice);
    passOn(server);
}

void LimitPermits::applyNotice(const std::string& text)
{
    const TimePoint now = RuntimeClock::now();
    const LimitNotice notice = readLimitNotice(text, now);
    const LimitEvidence* known = m_limits.latest(notice.server);
    const bool isNews = !known || known->sentAt < notice.evidence.sentAt;
    record(notice.server, notice.evidence, "peer", false);
    if (isNews)
        passOn(notice.server);
}

void LimitPermits::passOn(const ServerStart& server)
{
    const LimitEvidence* evidence = m_limits.latest(server);
    if (!evidence)
        return;
    const std::vector<HostId> ranked = rankHosts(server.server.value(), m_hosts);
    const auto own = std::find(ranked.begin(), ranked.end(), m_self);
    const std::string notice = toJson({ server, *evidence }, RuntimeClock::now());
    const std::size_t first = static_cast<std::size_t>(own - ranked.begin()) * treeFanOut + 1;
    for (std::size_t index = first; index < std::min(first + treeFanOut, ranked.size()); ++index)
        notify(ranked[index], notice);
}

void LimitPermits::notify(const HostId& peer, const std::string& notice)
{
    const auto host = m_view.hosts().find(peer);
    if (peer != m_self && host != m_view.hosts().end())
        Asio::co_spawn(m_context, sendNotice(host->second.endpoint, notice), Asio::detached);
}

Asio::awaitable<void> LimitPermits::sendNotice(Endpoint peer, std::string notice)
{
    const std::string name = toText(peer);
    std::string failure;
    try {
        Message message = TextMessage { noticeTopic, std::move(notice) };
        co_await m_peers.notify(std::move(peer), std::move(message), peerTimeout);
    } catch (const std::exception& error) {
        failure = error.what();
    }
    // The peer learns of the limit from a response, or when it requests a permit.
    if (!failure.empty())
        writeLog(LogLevel::Info, "limit_notice_failed", { { "peer", name }, { "reason", failure } });
}

Milliseconds LimitPermits::jitter(Milliseconds most)
{
    return Milliseconds(std::uniform_int_distribution<Milliseconds::rep>(0, most.count())(m_random));
}

void LimitPermits::count(const char* outcome)
{
    m_metrics
        .counter("apricot_limit_permits_total", "Permits for requests to servers with a limit, by outcome.",
            { { "outcome", outcome } })
        .add();
}

}
