#include "dispatch/controlplane.h"

#include "libapricot/cellstatejson.h"
#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/array.hpp>

#include <algorithm>

namespace Apricot {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds platformTimeout { 1200 };
    constexpr Milliseconds tickInterval { 100 };
    constexpr Milliseconds leavingCheckInterval { 100 };
    // Maximum wait of an entry daemon's view request, so that it renews its permission in time.
    constexpr Milliseconds viewWaitLimit { 1000 };
    // Members in addition to the writer that read the configuration from the platform.
    constexpr std::size_t extraWatchers = 1;
    constexpr std::string_view watcherKey = "watcher";
    // A permission that is extended by less than this is not published again.
    constexpr Milliseconds minPermissionExtension { 200 };

    std::string makeIncarnation()
    {
        const auto started = std::chrono::duration_cast<Milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
        std::random_device random;
        return std::to_string(started.count()) + "-" + std::to_string(random());
    }

    CellMembershipOptions membershipOptions(const ControlPlaneOptions& options)
    {
        CellMembershipOptions membership = options.membership;
        membership.self = { .host = options.host,
            .incarnation = makeIncarnation(),
            .failureDomain = options.failureDomain,
            .address = options.endpoint.address,
            .port = options.endpoint.port };
        return membership;
    }

    PeerEndpoint endpointOf(const Member& member)
    {
        return { .address = member.address, .port = member.port };
    }

    std::optional<VersionedCell> parseCell(const std::optional<PlatformObject>& object)
    {
        if (!object)
            return std::nullopt;
        return VersionedCell { parseCellState(object->value), object->version };
    }

}

ControlPlane::ControlPlane(asio::io_context& context, ControlPlaneOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_platform(context,
          { .address = m_options.platform.address,
              .port = m_options.platform.port,
              .host = m_options.host,
              .timeout = platformTimeout })
    , m_peers(context)
    , m_membership(membershipOptions(m_options), RuntimeClock::now())
    , m_config(context, m_platform, m_peers, m_options.config)
    , m_status(context, m_platform, m_options.host)
    , m_view(std::make_shared<ControlView>(ControlView { .self = m_options.host,
          .incarnation = m_membership.self().incarnation,
          .failureDomain = m_options.failureDomain,
          .catalogue = std::make_shared<Catalogue>(),
          .cell = std::make_shared<CellState>() }))
{
}

void ControlPlane::start()
{
    m_config.start([this] { return isWatcher(); }, [this] { applyConfig(); });
    m_status.start();
    asio::co_spawn(m_context, maintainMembership(), asio::detached);
    asio::co_spawn(m_context, sendHeartbeats(), asio::detached);
}

std::shared_ptr<const ControlView> ControlPlane::view() const
{
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    return m_view;
}

asio::awaitable<std::optional<Message>> ControlPlane::respondTo(Message request)
{
    std::optional<Message> response;
    if (const auto* heartbeat = std::get_if<HeartbeatMessage>(&request))
        response = HeartbeatResponseMessage {
            m_membership.respondTo(heartbeat->heartbeat, RuntimeClock::now())
        };
    else if (const auto* configRequest = std::get_if<ConfigRequestMessage>(&request))
        response = m_config.respondTo(configRequest->revisions);
    else if (auto* viewRequest = std::get_if<ViewRequestMessage>(&request))
        response = co_await respondToView(std::move(*viewRequest));
    co_return response;
}

void ControlPlane::beginLeaving()
{
    m_isStopping = true;
    m_membership.beginLeaving();
    publish();
}

asio::awaitable<void> ControlPlane::finishLeaving(Milliseconds timeout)
{
    m_membership.finishLeaving();
    const TimePoint deadline = RuntimeClock::now() + timeout;
    while (m_membership.isMember() && RuntimeClock::now() < deadline)
        co_await sleepFor(m_context.get_executor(), leavingCheckInterval);
}

asio::awaitable<void> ControlPlane::maintainMembership()
{
    while (true) {
        rejoinAfterRemoval();
        for (CellAction& action : m_membership.tick(RuntimeClock::now())) {
            if (auto* write = std::get_if<WriteCell>(&action))
                asio::co_spawn(m_context, writeCell(std::move(*write)), asio::detached);
            else
                asio::co_spawn(m_context, readCell(), asio::detached);
        }
        publish();
        co_await sleepFor(m_context.get_executor(), tickInterval);
    }
}

asio::awaitable<void> ControlPlane::sendHeartbeats()
{
    while (true) {
        if (m_options.homeReporter) {
            m_homeReport = co_await m_options.homeReporter();
            m_membership.setHomeReport(m_homeReport);
        }
        for (const Member& peer : m_membership.listPeers()) {
            if (m_pendingHeartbeats.insert(processOf(peer)).second)
                asio::co_spawn(m_context, sendHeartbeat(peer), asio::detached);
        }
        co_await sleepFor(m_context.get_executor(), m_options.heartbeatInterval);
    }
}

asio::awaitable<void> ControlPlane::sendHeartbeat(Member peer)
{
    const ProcessId process = processOf(peer);
    const TimePoint sentAt = RuntimeClock::now();
    try {
        Message request = HeartbeatMessage { m_membership.makeHeartbeat() };
        PeerEndpoint endpoint = endpointOf(peer);
        const Message response = co_await m_peers.call(
            std::move(endpoint), std::move(request), m_options.heartbeatTimeout);
        if (const auto* heartbeat = std::get_if<HeartbeatResponseMessage>(&response)) {
            m_membership.onHeartbeatResponse(
                process, heartbeat->response, sentAt, RuntimeClock::now());
            m_config.fetchFrom(endpointOf(peer), heartbeat->response.configRevision);
        }
    } catch (const PeerError& error) {
        if (error.failure() == PeerFailure::Refused)
            m_membership.onProcessGone(process);
    } catch (const std::exception&) {
        // No response: the peer counts as unresponsive until one arrives.
        m_pendingHeartbeats.erase(process);
        co_return;
    }
    m_pendingHeartbeats.erase(process);
    publish();
}

asio::awaitable<void> ControlPlane::readCell()
{
    try {
        const std::optional<PlatformObject> object
            = co_await m_platform.get("cells/" + m_options.cell);
        m_membership.onRead(parseCell(object), RuntimeClock::now());
    } catch (const PlatformUnavailable&) {
        m_membership.onReadFailed();
    } catch (const CellStateError& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Error, "cell_state_unreadable", fields);
        m_membership.onReadFailed();
    }
}

asio::awaitable<void> ControlPlane::writeCell(WriteCell write)
{
    const TimePoint startedAt = RuntimeClock::now();
    CellWriteOutcome outcome = CellWriteRefused {};
    try {
        outcome = co_await putCell(write);
    } catch (const PlatformUnavailable& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Debug, "cell_write_refused", fields);
    } catch (const CellStateError& error) {
        const json::object fields { { "error", error.what() } };
        writeLog(LogLevel::Error, "cell_state_unreadable", fields);
    }
    m_membership.onWriteFinished(write, outcome, startedAt, RuntimeClock::now());
    publish();
}

asio::awaitable<CellWriteOutcome> ControlPlane::putCell(WriteCell write)
{
    const WriteResult result = co_await m_platform.put(
        "cells/" + m_options.cell, cellStateToJson(write.state), write.ifVersion);
    CellWriteOutcome outcome = CellWriteUnknown {};
    if (const auto* stored = std::get_if<WriteStored>(&result))
        outcome = CellWriteAccepted { stored->version };
    else if (const auto* conflict = std::get_if<WriteConflict>(&result))
        outcome = CellWriteConflict { parseCell(conflict->current) };
    co_return outcome;
}

asio::awaitable<ViewResponseMessage> ControlPlane::respondToView(ViewRequestMessage request)
{
    const TimePoint deadline = RuntimeClock::now() + std::min(request.wait, viewWaitLimit);
    while (RuntimeClock::now() < deadline) {
        const std::shared_ptr<const ControlView> now = view();
        if (now->catalogue->version > request.catalogueVersion || now->epoch > request.epoch)
            break;
        co_await sleepFor(m_context.get_executor(), tickInterval);
    }
    co_return makeViewResponse(request);
}

ViewResponseMessage ControlPlane::makeViewResponse(const ViewRequestMessage& request) const
{
    const std::shared_ptr<const ControlView> current = view();
    ViewResponseMessage response { .self = m_membership.self(),
        .epoch = current->epoch,
        .acknowledgedEpoch = current->acknowledgedEpoch,
        .deltas = m_config.respondTo(request.revisions).deltas };
    if (current->epoch > request.epoch)
        response.newerState.push_back(*current->cell);
    const auto remaining = std::chrono::floor<Milliseconds>(
        current->permittedUntil - RuntimeClock::now());
    response.permittedFor = std::max(Milliseconds(0), remaining);
    return response;
}

bool ControlPlane::isWatcher() const
{
    if (m_membership.isWriter())
        return true;
    std::vector<HostId> others;
    for (const Member& member : m_membership.state().members) {
        if (member.host != m_membership.state().writer && member.state == MemberState::Live)
            others.push_back(member.host);
    }
    std::vector<HostId> ranked = rankHosts(watcherKey, others);
    ranked.resize(std::min(ranked.size(), extraWatchers));
    return std::find(ranked.begin(), ranked.end(), m_options.host) != ranked.end();
}

// A removed daemon starts no new work. It rejoins under a new incarnation once none of the calls that
// it sent as a home is in flight any more.
void ControlPlane::rejoinAfterRemoval()
{
    if (!m_membership.isRemoved() || m_isStopping) {
        m_removedAt.reset();
        return;
    }
    const TimePoint now = RuntimeClock::now();
    if (!m_removedAt) {
        m_removedAt = now;
        m_removedEpoch = m_membership.epoch();
        writeLog(LogLevel::Warning, "removed_from_cell");
    }
    const bool isIdle = m_options.homeReporter
        ? m_homeReport.appliedEpoch >= m_removedEpoch && m_homeReport.busyServers.empty()
        : now - *m_removedAt >= m_options.rejoinDelay;
    if (isIdle)
        m_membership.rejoin(makeIncarnation());
}

void ControlPlane::applyConfig()
{
    const ConfigStore& store = m_config.store();
    const bool isLoaded = store.revision() > 0;
    m_membership.setCatalogue(isLoaded ? store.catalogue() : nullptr, store.revision());
    publish();
}

void ControlPlane::publish()
{
    const std::shared_ptr<const ControlView> before = view();
    const TimePoint leaseEnd = RuntimeClock::now() + m_options.membership.evidence.evidenceLease;
    auto after = std::make_shared<ControlView>(ControlView { .self = m_options.host,
        .incarnation = m_membership.self().incarnation,
        .failureDomain = m_options.failureDomain,
        .catalogue = m_config.store().catalogue(),
        .cell = before->epoch == m_membership.epoch()
            ? before->cell
            : std::make_shared<CellState>(m_membership.state()),
        .epoch = m_membership.epoch(),
        .permittedUntil = std::min(leaseEnd, m_membership.permittedUntil()),
        .stopping = m_isStopping,
        .acknowledgedEpoch = m_membership.acknowledgedEpoch() });
    const bool isUnchanged = after->incarnation == before->incarnation
        && after->catalogue == before->catalogue && after->epoch == before->epoch
        && after->stopping == before->stopping
        && after->acknowledgedEpoch == before->acknowledgedEpoch
        && after->permittedUntil >= before->permittedUntil
        && after->permittedUntil < before->permittedUntil + minPermissionExtension;
    m_status.update({ .incarnation = after->incarnation,
        .catalogueVersion = after->catalogue->version,
        .invalidObjects = m_config.store().invalidObjects() });
    if (isUnchanged)
        return;
    logChanges(*before, *after);
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    m_view = std::move(after);
}

void ControlPlane::logChanges(const ControlView& before, const ControlView& after) const
{
    if (before.cell->members != after.cell->members) {
        json::array hosts;
        for (const Member& member : after.cell->members)
            hosts.emplace_back(member.host.value());
        json::object fields { { "epoch", after.epoch } };
        fields["members"] = std::move(hosts);
        writeLog(LogLevel::Info, "members_changed", fields);
    }
    if (before.catalogue->version != after.catalogue->version) {
        const json::object fields { { "version", after.catalogue->version } };
        writeLog(LogLevel::Info, "config_in_force", fields);
    }
    const TimePoint now = RuntimeClock::now();
    if (before.permits(now) && !after.permits(now))
        writeLog(LogLevel::Warning, "new_work_suspended");
}

json::value ControlPlane::dump() const
{
    const TimePoint now = RuntimeClock::now();
    const std::shared_ptr<const ControlView> current = view();
    json::object value { { "host", m_options.host.value() },
        { "incarnation", m_membership.self().incarnation }, { "epoch", current->epoch },
        { "acknowledged_epoch", current->acknowledgedEpoch },
        { "is_writer", m_membership.isWriter() }, { "is_member", m_membership.isMember() },
        { "stopping", m_isStopping },
        { "permission_ms", millisecondsBetween(now, current->permittedUntil) },
        { "config_revision", m_config.store().revision() },
        { "catalogue_version", current->catalogue->version } };
    value["cell"] = cellStateToJson(m_membership.state());
    json::object invalid;
    for (const auto& [key, object] : m_config.store().invalidObjects())
        invalid[key] = object.error;
    value["invalid"] = std::move(invalid);
    json::object peers;
    for (const Member& peer : m_membership.listPeers()) {
        const PeerContact* contact = m_membership.contacts().find(peer);
        if (contact)
            peers[peer.host.value()] = millisecondsBetween(contact->requestSentAt, now);
    }
    value["heard_ms_ago"] = std::move(peers);
    return value;
}

}
